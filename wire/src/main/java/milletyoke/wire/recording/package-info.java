/**
 * Recordings of the frames that the ends of connections sent and received, for the audit.
 *
 * <p>Observers are called on the threads that send and receive; one writer thread for each recorder
 * writes the file.
 */
package milletyoke.wire.recording;
