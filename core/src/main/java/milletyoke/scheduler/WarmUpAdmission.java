package milletyoke.scheduler;

/** Why a request may be sent to a target that warms up. */
enum WarmUpAdmission {
    /** It may not. */
    NONE,
    /** It fits into this initiator's budget for one overload window. */
    BUDGET,
    /** A random draw in place of a budget that is too small for any request. */
    DRAW,
    /** A credible report says that hardly anything is queued there. */
    REPORT
}
