package org.sassafrastrail.platform.http;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sassafrastrail.http.HttpCaller;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.platform.VmEntry;
import org.sassafrastrail.platform.VmList;

/** The platform's list of VMs over HTTP. */
public final class HttpVmList implements VmList {

    private static final byte[] NOTHING = {};

    private final PlatformCalls calls;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Makes the list's client.
     *
     * @param caller calls the platform
     * @param address where the platform is
     */
    public HttpVmList(HttpCaller caller, PlatformAddress address) {
        this.calls = new PlatformCalls(caller, address);
    }

    @Override
    public Optional<List<VmEntry>> list() {
        return calls.call("GET", "/vms", Map.of(), NOTHING)
                .filter(reply -> reply.status() == PlatformCalls.Reply.OK)
                .flatMap(this::parse);
    }

    private Optional<List<VmEntry>> parse(PlatformCalls.Reply reply) {
        try {
            List<Row> rows = mapper.readValue(reply.body(), new TypeReference<List<Row>>() {});
            return Optional.of(rows.stream().map(Row::entry).toList());
        } catch (IOException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    /** One VM as the platform writes it. */
    private record Row(String node, String role, String host, int port, boolean leaving) {

        VmEntry entry() {
            VmEntry.Role kind = VmEntry.Role.valueOf(role.toUpperCase(Locale.ROOT));
            return new VmEntry(new NodeName(node), kind, host, port, leaving);
        }
    }
}
