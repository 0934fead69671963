package org.sassafrastrail.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.sassafrastrail.durable.VmEntry;
import org.sassafrastrail.durable.VmList;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.runtime.HostAndPort;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.wire.Link;
import org.sassafrastrail.wire.LinkCloseReason;
import org.sassafrastrail.wire.LinkDialer;
import org.sassafrastrail.wire.LinkListener;
import org.sassafrastrail.wire.LinkSettings;

/**
 * The links of the router to sidecars. Sidecars are read from the platform's VM list; links are kept while the platform
 * is unavailable.
 */
final class SidecarLinks implements LinkListener, Service {

    private static final Duration REDIAL_INTERVAL = Duration.ofMillis(500);

    private final VmList vmList;
    private final SidecarSelection selection;
    private final List<HostAndPort> seeds;
    private final Consumer<RouterEvent> control;
    private final Map<HostAndPort, LinkDialer> dialers = new ConcurrentHashMap<>();
    private final Map<NodeName, Link> links = new ConcurrentHashMap<>();
    private final Map<NodeName, Endpoint> endpoints = new ConcurrentHashMap<>();
    private volatile LinkSettings settings;

    SidecarLinks(VmList vmList, SidecarSelection selection, List<String> seeds, Consumer<RouterEvent> control) {
        this.vmList = vmList;
        this.selection = selection;
        this.seeds = seeds.stream().map(HostAndPort::parse).toList();
        this.control = control;
    }

    /** The address at which a sidecar accepts dispatches. */
    record Endpoint(String host, int port) {}

    private static HostAndPort address(VmEntry entry) {
        return new HostAndPort(entry.host(), entry.port());
    }

    void configure(LinkSettings linkSettings) {
        settings = linkSettings;
    }

    @Override
    public void start() {
        seeds.forEach(address -> dialers.computeIfAbsent(address, this::dial));
    }

    /**
     * Reads the platform's VM list, dials the selected sidecars and reports the VMs that are being removed. Links to
     * sidecars that are no longer selected are closed.
     */
    void refresh() {
        vmList.list().ifPresent(entries -> {
            List<VmEntry> sidecars = entries.stream()
                    .filter(entry -> entry.role() == VmEntry.Role.SIDECAR)
                    .toList();
            List<VmEntry> selected = selection.select(sidecars);
            selected.forEach(entry -> dialers.computeIfAbsent(address(entry), this::dial));
            closeUnselected(selected);
            control.accept(new RouterEvent.VmsLeaving(selected.stream()
                    .filter(VmEntry::leaving)
                    .map(VmEntry::node)
                    .collect(Collectors.toSet())));
        });
    }

    private LinkDialer dial(HostAndPort address) {
        LinkDialer dialer = new LinkDialer(address.host(), address.port(), REDIAL_INTERVAL, settings);
        dialer.start();
        return dialer;
    }

    private void closeUnselected(List<VmEntry> selected) {
        Map<HostAndPort, VmEntry> selectedByAddress = selected.stream()
                .collect(Collectors.toMap(SidecarLinks::address, entry -> entry, (first, second) -> second));
        dialers.keySet().stream()
                .filter(address -> !selectedByAddress.containsKey(address))
                .forEach(address -> {
                    LinkDialer dialer = dialers.remove(address);
                    if (dialer != null) {
                        dialer.stop();
                    }
                });
    }

    Optional<Endpoint> endpoint(NodeName sidecar) {
        return Optional.ofNullable(endpoints.get(sidecar));
    }

    void send(NodeName sidecar, Message message) {
        Optional.ofNullable(links.get(sidecar)).ifPresent(link -> link.send(message));
    }

    @Override
    public void opened(Link link) {
        Hello peer = link.peer();
        peer.upstream().ifPresent(upstream -> {
            links.put(peer.node(), link);
            endpoints.put(peer.node(), new Endpoint(link.host(), upstream.dispatchPort()));
            control.accept(new RouterEvent.SidecarConnected(peer.node(), peer.incarnation(), upstream.profile()));
        });
    }

    @Override
    public void received(Link link, Message message) {
        control.accept(new RouterEvent.SidecarMessageReceived(link.peer().node(), message));
    }

    @Override
    public void closed(Link link, LinkCloseReason reason) {
        if (links.remove(link.peer().node(), link)) {
            control.accept(new RouterEvent.SidecarDisconnected(
                    link.peer().node(), link.peer().incarnation()));
        }
    }

    @Override
    public void stop() {
        dialers.values().forEach(LinkDialer::stop);
    }
}
