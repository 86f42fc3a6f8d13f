package milletyoke.scheduler;

/** What a cold target was sent, and when. */
record WarmUpSend(long sentAt, double units) {}
