/**
 * Stand-ins for the peers of an initiator: clients that generate load, targets that execute it, and
 * discovery. They run on sockets or in virtual time, depending on the execution environment. Frames
 * are received on the network's threads, and timers run on the given executor.
 */
package milletyoke.standins;
