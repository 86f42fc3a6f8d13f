package milletyoke.scheduler;

/** Units sent to a target while it was warming up, and when. */
record WarmUpSend(long sentAt, double units) {}
