/** An HTTP server for tests that responds as scripted, on the threads of its transport. */
package milletyoke.standins.http;
