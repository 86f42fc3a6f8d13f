package milletyoke.scheduler;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** State that several components share. */
class SchedulerState {
    final SchedulerTuning tuning;
    final Turn turn = new Turn();
    final TargetTable targets = new TargetTable();
    final DispatchQueue dispatchQueue = new DispatchQueue();
    final ActiveSettings settings;
    final LoadEstimates estimates;

    /** Index of each listed target in the target table. */
    final Map<String, Integer> targetIndex = new HashMap<>();

    final Map<String, PendingRequest> requestsById = new LinkedHashMap<>();
    final Map<String, KeySequence> keySequences = new HashMap<>();

    SchedulerState(SchedulerTuning tuning) {
        this.tuning = tuning;
        settings = new ActiveSettings(tuning);
        estimates = new LoadEstimates(tuning);
    }
}
