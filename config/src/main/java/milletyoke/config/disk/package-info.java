/** Reads the files of a fleet configuration from the file system, on the caller's thread. */
package milletyoke.config.disk;
