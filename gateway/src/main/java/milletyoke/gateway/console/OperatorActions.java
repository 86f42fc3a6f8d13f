package milletyoke.gateway.console;

import java.io.IOException;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;

/** Performs operators' actions, each after it has been written to the audit log. */
final class OperatorActions {
    private final String initiatorName;
    private final EventLoop loop;
    private final AuditLog auditLog;

    OperatorActions(String initiatorName, EventLoop loop, AuditLog auditLog) {
        this.initiatorName = initiatorName;
        this.loop = loop;
        this.auditLog = auditLog;
    }

    /**
     * Performs an action.
     *
     * @param target the target to act on; ignored by actions on the initiator
     * @throws IOException if the action could not be written to the audit log; it is then not
     *     performed
     */
    void perform(AccessScope scope, String action, String target)
            throws HttpProblemException, IOException {
        if (!scope.canAct()) {
            throw HttpProblemException.forbidden(
                    "This token may view but not act; an operator token is required.");
        }
        String operator = scope.name();
        switch (action) {
            case "drain" -> drainInitiator(operator, action, true);
            case "undrain" -> drainInitiator(operator, action, false);
            case "drain-target" -> drainTarget(operator, action, target, true);
            case "undrain-target" -> drainTarget(operator, action, target, false);
            default ->
                    throw HttpProblemException.badRequest(
                            "Unknown action; allowed are drain, undrain, drain-target and "
                                    + "undrain-target.");
        }
    }

    private void drainInitiator(String operator, String action, boolean isDrained)
            throws IOException {
        auditLog.write(operator, action, initiatorName);
        loop.post(new LoopMessage.DrainInitiator(isDrained, operator));
    }

    private void drainTarget(String operator, String action, String target, boolean isDrained)
            throws HttpProblemException, IOException {
        if (!loop.hasTarget(target)) {
            throw HttpProblemException.notFound();
        }
        auditLog.write(operator, action, target);
        loop.post(new LoopMessage.DrainTarget(target, isDrained, operator));
    }
}
