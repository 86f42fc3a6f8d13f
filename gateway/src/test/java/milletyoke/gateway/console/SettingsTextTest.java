package milletyoke.gateway.console;

import static org.junit.jupiter.api.Assertions.assertEquals;

import milletyoke.gateway.config.InitiatorConfig.CapacityLimits;
import milletyoke.gateway.config.InitiatorConfig.Transport;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import org.junit.jupiter.api.Test;

/** Tests the texts of the setup page, which are values of the console's JSON. */
class SettingsTextTest {
    @Test
    void allowancesHaveTheKeysOfTheSetup() {
        assertEquals(
                "Allowances[maxRelays=3, probes=true, cancels=false, advice=true, "
                        + "longestAdvice=500000]",
                SettingsText.allowances(new Capabilities(3, true, false, true, 500_000)));
    }

    @Test
    void boundsHaveTheKeysOfTheSetup() {
        assertEquals(
                "Bounds[keyQuiet=1, cold=17000000, coldShare=0.29, coldBears=11.0, fall=2, "
                        + "tipMultiple=2.0, relayBudgetFree=10.0, relayBudgetShare=0.1, "
                        + "relayBudgetSpan=3, mustAskIn=4]",
                SettingsText.bounds(new RuleLimits(1, 17_000_000, 0.29, 11, 2, 2, 10, 0.1, 3, 4)));
    }

    @Test
    void transportHasTheKeysOfTheSetup() {
        assertEquals(
                "Transport[connectTime=1, idle=2, connections=3, streams=4, probeTime=5, "
                        + "frameBytes=6, waitingBytes=7, partialTime=8, threads=9]",
                SettingsText.transport(new Transport(1, 2, 3, 4, 5, 6, 7, 8, 9)));
    }

    @Test
    void roomHasTheKeysOfTheSetup() {
        assertEquals(
                "Room[held=1, queue=2, shards=3, largest=4.0, longest=5, bytes=268435456, "
                        + "connectionPart=1.0, greed=4.0, full=0.9, eased=0.7, listAge=10000000]",
                SettingsText.room(new CapacityLimits(1, 2, 3, 4, 5)));
    }
}
