/**
 * Stand-ins for everything round an initiator: clients that send a load, targets that execute it,
 * and discovery. They run on sockets or in virtual time, whichever execution environment they are
 * given; frames arrive on the network's threads and timers on the given executor's.
 */
package milletyoke.standins;
