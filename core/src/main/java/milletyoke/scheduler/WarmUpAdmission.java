package milletyoke.scheduler;

/** The ground on which a request may be sent to a target that warms up. */
enum WarmUpAdmission {
    /** The request may not be sent. */
    NONE,
    /** The request fits into this initiator's budget for one overload window. */
    BUDGET,
    /** A random draw, made because the budget is too small for any request. */
    DRAW,
    /** A credible load report shows hardly any queue at the target. */
    REPORT
}
