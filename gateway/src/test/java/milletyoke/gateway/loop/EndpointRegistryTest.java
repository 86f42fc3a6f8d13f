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

/**
 * What a list tells of addresses: who drains or is left out takes nothing new, who stays is not
 * disturbed.
 */
class EndpointRegistryTest implements EndpointRegistry.Addresses {
    private final List<String> told = new ArrayList<>();
    private final EndpointRegistry roster = new EndpointRegistry(this);

    @Override
    public void listed(String target, Address address) {
        told.add("listed " + target);
    }

    @Override
    public void draining(String target) {
        told.add("draining " + target);
    }

    @Override
    public void unlisted(String target) {
        told.add("unlisted " + target);
    }

    private void list(Scope scope, String... targets) {
        EndpointList.Builder list = EndpointList.newBuilder().setScope(scope);
        for (String t : targets) {
            String[] parts = t.split(" ");
            list.addTarget(
                    Target.newBuilder()
                            .setId(parts[0])
                            .setHost("h")
                            .setPort(1)
                            .setHealth(Health.valueOf(parts[1])));
        }
        told.clear();
        roster.listed(0, list.build(), false);
    }

    @Test
    void onlyWhoDrainsOrIsLeftOutTakesNothingNew() {
        list(Scope.REPLACE, "a ACTIVE", "b ACTIVE", "c ACTIVE");
        assertEquals(List.of("listed a", "listed b", "listed c"), told);
        list(Scope.REPLACE, "a ACTIVE", "b DRAINING");
        assertEquals(List.of("listed a", "listed b", "draining b", "unlisted c"), told);
        list(Scope.UPDATE, "a REMOVED");
        assertEquals(List.of("unlisted a"), told);
        list(Scope.REPLACE);
        assertEquals(List.of("unlisted b"), told);
        assertEquals(0, roster.size());
    }
}
