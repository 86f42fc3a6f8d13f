package milletyoke.gateway.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import milletyoke.config.Fleet;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** Converts between the fleet configuration language and {@link DeploymentSettings}. */
public final class FleetConverter {
    private FleetConverter() {}

    /** Returns the settings that a checked fleet configuration describes. */
    public static DeploymentSettings deployment(Fleet fleet) {
        Fleet.Block fleetBlock = fleet.single("fleet");
        Fleet.Block bounds = fleet.single("bounds");
        SchedulerSettings scheduler =
                new SchedulerSettings(
                        (int) fleetBlock.number("initiators"),
                        requestClasses(fleet),
                        servicePlans(fleet),
                        capabilities(fleet.single("allowances")),
                        ruleLimits(bounds),
                        fleetBlock.text("list").equals("asked"));
        return new DeploymentSettings(
                scheduler,
                (long) bounds.number("answer-slack"),
                (long) bounds.number("drain-grace"));
    }

    private static List<RequestClass> requestClasses(Fleet fleet) {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (Fleet.Block block : fleet.blocksOfKind("category")) {
            requestClasses.add(
                    new RequestClass(
                            block.name(),
                            idempotency(block.text("repeats")),
                            DeduplicationScope.valueOf(enumName(block.text("group"))),
                            (long) block.number("repeat-window"),
                            block.flag("key-ordered"),
                            (long) block.number("agreed"),
                            block.number("importance")));
        }
        return List.copyOf(requestClasses);
    }

    private static List<ServicePlan> servicePlans(Fleet fleet) {
        List<ServicePlan> plans = new ArrayList<>();
        for (Fleet.Block block : fleet.blocksOfKind("plan")) {
            plans.add(
                    new ServicePlan(
                            block.name(),
                            block.number("reserve"),
                            block.number("weight"),
                            block.number("limit-rate"),
                            block.number("limit-depth"),
                            block.number("limit-slack")));
        }
        return List.copyOf(plans);
    }

    private static Capabilities capabilities(Fleet.Block block) {
        return new Capabilities(
                (int) block.number("max-relays"),
                block.flag("probes"),
                block.flag("cancels"),
                block.flag("advice"),
                (long) block.number("longest-advice"));
    }

    private static RuleLimits ruleLimits(Fleet.Block block) {
        return new RuleLimits(
                (long) block.number("key-quiet"),
                (long) block.number("cold"),
                block.number("cold-share"),
                block.number("cold-bears"),
                (long) block.number("fall"),
                block.number("tip-multiple"),
                block.number("relay-budget-free"),
                block.number("relay-budget-share"),
                (long) block.number("relay-budget-span"),
                (long) block.number("must-ask-in"));
    }

    private static Idempotency idempotency(String keyword) {
        return Arrays.stream(Idempotency.values())
                .filter(idempotency -> idempotency.keyword().equals(keyword))
                .findFirst()
                .orElseThrow();
    }

    private static String enumName(String keyword) {
        return keyword.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** Returns settings in the configuration language, as {@code config convert} prints them. */
    public static String text(DeploymentSettings deployment) {
        return new FleetWriter().write(deployment);
    }
}
