package milletyoke.http;

/** What happens to a message for whose body the shared budget has no room. */
public enum BodyPolicy {
    /** The message is invalid, with status 503, and no more input is decoded. */
    REJECT_WITHOUT_MEMORY,
    /**
     * The message is delivered without its body, and the messages behind it are decoded; see {@link
     * HttpMessage#isBodyOmitted}.
     */
    OMIT_WITHOUT_MEMORY
}
