/**
 * Reads and writes recordings of the frames that participants sent and received, for the audit.
 *
 * <p>Observers are called on the threads that send and receive. Each recorder has one thread that
 * writes the file.
 */
package milletyoke.wire.recording;
