package milletyoke.gateway.console;

import java.util.StringJoiner;
import milletyoke.gateway.config.InitiatorConfig.CapacityLimits;
import milletyoke.gateway.config.InitiatorConfig.Transport;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * Formats the settings in force for the setup page. The texts are part of the console's JSON: the
 * names in them are the keys of the setup file and must not change when members are renamed.
 */
final class SettingsText {
    private SettingsText() {}

    static String allowances(Capabilities capabilities) {
        return new Fields("Allowances")
                .add("maxRelays", capabilities.maxAttempts())
                .add("probes", capabilities.canProbe())
                .add("cancels", capabilities.canCancel())
                .add("advice", capabilities.canSuggestRetryAfter())
                .add("longestAdvice", capabilities.maxRetryAfterMicros())
                .toString();
    }

    static String bounds(RuleLimits limits) {
        return new Fields("Bounds")
                .add("keyQuiet", limits.keyQuietMicros())
                .add("cold", limits.warmUpMicros())
                .add("coldShare", limits.initialFraction())
                .add("coldBears", limits.warmUpBudgetUnits())
                .add("fall", limits.overloadWindowMicros())
                .add("tipMultiple", limits.overloadFactor())
                .add("relayBudgetFree", limits.freeRetries())
                .add("relayBudgetShare", limits.retryShare())
                .add("relayBudgetSpan", limits.retryWindowMicros())
                .add("mustAskIn", limits.watchDeadlineMicros())
                .toString();
    }

    static String transport(Transport transport) {
        return new Fields("Transport")
                .add("connectTime", transport.connectTimeoutMicros())
                .add("idle", transport.idleTimeoutMicros())
                .add("connections", transport.maxConnectionsPerTarget())
                .add("streams", transport.maxAttemptsPerConnection())
                .add("probeTime", transport.probeTimeoutMicros())
                .add("frameBytes", transport.maxFrameBytes())
                .add("waitingBytes", transport.maxUnsentBytes())
                .add("partialTime", transport.partialFrameTimeoutMicros())
                .add("threads", transport.ioThreads())
                .toString();
    }

    static String room(CapacityLimits capacity) {
        return new Fields("Room")
                .add("held", capacity.maxRequests())
                .add("queue", capacity.queueCapacity())
                .add("shards", capacity.shardCount())
                .add("largest", capacity.maxRequestUnits())
                .add("longest", capacity.maxTimeLeftMicros())
                .add("bytes", capacity.maxPayloadBytes())
                .add("connectionPart", capacity.connectionShare())
                .add("greed", capacity.volumeShare())
                .add("full", capacity.saturationThreshold())
                .add("eased", capacity.recoveryThreshold())
                .add("listAge", capacity.endpointListTimeoutMicros())
                .toString();
    }

    /** Builds a text of the form {@code Name[key=value, ...]}. */
    private static final class Fields {
        private final StringJoiner joiner;

        Fields(String name) {
            joiner = new StringJoiner(", ", name + "[", "]");
        }

        Fields add(String key, Object value) {
            joiner.add(key + "=" + value);
            return this;
        }

        @Override
        public String toString() {
            return joiner.toString();
        }
    }
}
