package milletyoke.standins;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.proto.CancelRequest;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Response;

/**
 * Sends client requests, retries them where a retry is safe, and records their outcomes. Called by
 * the arrival process, the network's threads and the executor's threads; thread-safe.
 */
final class RequestDispatcher implements ServerLink.AttemptListener {
    /** Upper bound of the time after which a client cancels a request early. */
    private static final long MAX_EARLY_CANCEL_MICROS = 50_000;

    /** Early cancels come after this part of the time to the deadline. */
    private static final int EARLY_CANCEL_DIVISOR = 4;

    private final LoadProfile profile;
    private final boolean isDirect;
    private final ExecutionEnvironment environment;
    private final DelayedTasks tasks;
    private final ServiceLevelRecorder serviceLevels;
    private final List<ServerLink> links;
    private final AtomicLong numberSequence;
    private final BooleanSupplier isStopped;
    private final Consumer<ClientRequest> onFinished;
    private final AtomicInteger unfinishedRequests = new AtomicInteger();

    /**
     * @param links connections to the servers, by server index
     * @param isStopped whether to send no further retries
     * @param onFinished called with each request when it has ended
     */
    RequestDispatcher(
            LoadProfile profile,
            boolean isDirect,
            ExecutionEnvironment environment,
            DelayedTasks tasks,
            ServiceLevelRecorder serviceLevels,
            List<ServerLink> links,
            AtomicLong numberSequence,
            BooleanSupplier isStopped,
            Consumer<ClientRequest> onFinished) {
        this.profile = profile;
        this.isDirect = isDirect;
        this.environment = environment;
        this.tasks = tasks;
        this.serviceLevels = serviceLevels;
        this.links = links;
        this.numberSequence = numberSequence;
        this.isStopped = isStopped;
        this.onFinished = onFinished;
    }

    /** Returns the number of requests that were submitted and have not ended. */
    int unfinishedCount() {
        return unfinishedRequests.get();
    }

    void submit(ClientRequest request) {
        serviceLevels.recordRequest(request.requestClass().name(), request.volume().name());
        unfinishedRequests.incrementAndGet();
        send(new ClientAttempt(request, 0));
    }

    private void send(ClientAttempt attempt) {
        ClientRequest request = attempt.request;
        long timeLeftMicros = request.deadlineMicros() - environment.monotonicMicros();
        if (timeLeftMicros <= 0) {
            finish(request, serviceLevels::recordUnanswered);
            return;
        }
        attempt.number = numberSequence.incrementAndGet();
        ServerLink link = links.get(request.serverIndex());
        PeerConnection connection = link.register(attempt);
        if (connection == null) {
            onUnreachable(attempt);
            return;
        }
        Frame frame =
                isDirect
                        ? attempt.toAttemptFrame(timeLeftMicros)
                        : attempt.toRequestFrame(timeLeftMicros);
        if (!connection.send(frame)) {
            if (link.remove(attempt)) {
                onUnreachable(attempt);
            }
            return;
        }
        tasks.schedule(() -> onTimeout(link, attempt), timeoutMicros(attempt, timeLeftMicros));
    }

    private long timeoutMicros(ClientAttempt attempt, long timeLeftMicros) {
        return attempt.isCancelledEarly()
                ? Math.min(timeLeftMicros / EARLY_CANCEL_DIVISOR, MAX_EARLY_CANCEL_MICROS)
                : timeLeftMicros + profile.responseSlackMicros();
    }

    private void onUnreachable(ClientAttempt attempt) {
        serviceLevels.recordUnreachable(attempt.request.requestClass().name());
        retryOrFinish(attempt, 0, serviceLevels::recordUnanswered);
    }

    /** Ends an attempt that is still pending when its client stops waiting. */
    private void onTimeout(ServerLink link, ClientAttempt attempt) {
        if (!link.remove(attempt)) {
            return;
        }
        if (attempt.isCancelledEarly() && !isDirect) {
            attempt.connection.send(
                    Frame.newBuilder()
                            .setCancelRequest(CancelRequest.newBuilder().setNumber(attempt.number))
                            .build());
        }
        finish(attempt.request, serviceLevels::recordUnanswered);
        link.closeIfDrained(attempt.connection);
    }

    @Override
    public void onResponse(ClientAttempt attempt, Response response) {
        switch (response.getStatus()) {
            case ANSWERED -> finishAnswered(attempt.request);
            case REJECTED ->
                    retryOrFinish(
                            attempt,
                            response.getRetryAfterMicros(),
                            serviceLevels::recordRejection);
            default -> {
                if (attempt.request.requestClass().idempotency()
                        == LoadProfile.Idempotency.IDEMPOTENT) {
                    retryOrFinish(attempt, 0, serviceLevels::recordFailure);
                } else {
                    finish(attempt.request, serviceLevels::recordFailure);
                }
            }
        }
    }

    @Override
    public void onAttemptReply(ClientAttempt attempt, Outcome outcome) {
        switch (outcome) {
            case SUCCEEDED -> finishAnswered(attempt.request);
            case OVERLOADED, NOT_STARTED ->
                    retryOrFinish(attempt, 0, serviceLevels::recordRejection);
            default -> finish(attempt.request, serviceLevels::recordFailure);
        }
    }

    @Override
    public void onConnectionLost(ClientAttempt attempt) {
        if (isSafeToRetry(attempt.request.requestClass())) {
            retryOrFinish(attempt, 0, serviceLevels::recordUnanswered);
        } else {
            finish(attempt.request, serviceLevels::recordUnanswered);
        }
    }

    /** Returns whether retrying a request that may have been executed has no further effect. */
    private static boolean isSafeToRetry(LoadProfile.RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY -> requestClass.isDeduplicatedFleetWide();
            case NON_IDEMPOTENT -> false;
        };
    }

    /**
     * @param retryAfterMicros delay advised by the server, 0 for none
     * @param recordOutcome records the outcome by request class if no further attempt is made
     */
    private void retryOrFinish(
            ClientAttempt attempt, long retryAfterMicros, Consumer<String> recordOutcome) {
        ClientRequest request = attempt.request;
        long delayMicros = retryAfterMicros > 0 ? retryAfterMicros : profile.retryDelayMicros();
        if (attempt.retryCount >= profile.retries()
                || environment.monotonicMicros() + delayMicros >= request.deadlineMicros()
                || isStopped.getAsBoolean()) {
            finish(request, recordOutcome);
            return;
        }
        tasks.schedule(() -> send(attempt.nextRetry()), delayMicros);
    }

    private void finishAnswered(ClientRequest request) {
        long latencyMicros = environment.monotonicMicros() - request.dueMicros();
        LoadProfile.RequestClass requestClass = request.requestClass();
        boolean isInTime = latencyMicros <= requestClass.latencyObjectiveMicros();
        finish(
                request,
                name ->
                        serviceLevels.recordAnswered(
                                name, request.volume().name(), latencyMicros, isInTime));
    }

    private void finish(ClientRequest request, Consumer<String> recordOutcome) {
        recordOutcome.accept(request.requestClass().name());
        unfinishedRequests.decrementAndGet();
        onFinished.accept(request);
    }
}
