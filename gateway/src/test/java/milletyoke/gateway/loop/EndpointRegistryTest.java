package milletyoke.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import milletyoke.gateway.config.Address;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Scope;
import milletyoke.wire.proto.Target;
import org.junit.jupiter.api.Test;

/** Checks which targets the listener is notified of when an endpoint list is applied. */
class EndpointRegistryTest implements EndpointRegistry.TargetListener {
    private final List<String> calls = new ArrayList<>();
    private final EndpointRegistry registry = new EndpointRegistry(this);

    @Override
    public void onListed(String target, Address address) {
        calls.add("listed " + target);
    }

    @Override
    public void onDraining(String target) {
        calls.add("draining " + target);
    }

    @Override
    public void onUnlisted(String target) {
        calls.add("unlisted " + target);
    }

    private void applyList(Scope scope, String... targets) {
        EndpointList.Builder list = EndpointList.newBuilder().setScope(scope);
        for (String target : targets) {
            String[] parts = target.split(" ", 2);
            list.addTarget(
                    Target.newBuilder()
                            .setId(parts[0])
                            .setHost("h")
                            .setPort(1)
                            .setHealth(Health.valueOf(parts[1])));
        }
        calls.clear();
        registry.apply(0, list.build(), false);
    }

    @Test
    void listenerIsNotifiedOfDrainingAndMissingTargets() {
        applyList(Scope.REPLACE, "a ACTIVE", "b ACTIVE", "c ACTIVE");
        assertEquals(List.of("listed a", "listed b", "listed c"), calls);
        applyList(Scope.REPLACE, "a ACTIVE", "b DRAINING");
        assertEquals(List.of("listed a", "listed b", "draining b", "unlisted c"), calls);
        applyList(Scope.UPDATE, "a REMOVED");
        assertEquals(List.of("unlisted a"), calls);
        applyList(Scope.REPLACE);
        assertEquals(List.of("unlisted b"), calls);
        assertEquals(0, registry.size());
    }
}
