/** An HTTP server whose replies a script decides; it runs on its transport's threads. */
package milletyoke.standins.http;
