package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.sassafrastrail.durable.SharedTable;
import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableChanges;
import org.sassafrastrail.durable.WatchedTable;
import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.gate.CrashReport;
import org.sassafrastrail.gate.DrainReport;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.GatewayReport;
import org.sassafrastrail.gate.TableWatchers;
import org.sassafrastrail.gate.capacity.CapacityReport;
import org.sassafrastrail.gate.limit.LimitReport;
import org.sassafrastrail.messages.CapacityUpdate;
import org.sassafrastrail.messages.CopyRequest;
import org.sassafrastrail.messages.CrashUpdate;
import org.sassafrastrail.messages.DomainAnnouncement;
import org.sassafrastrail.messages.DrainUpdate;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.LimitUpdate;
import org.sassafrastrail.messages.LoadReport;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.PermitAnswer;
import org.sassafrastrail.messages.PermitRequest;
import org.sassafrastrail.messages.TableCopy;
import org.sassafrastrail.messages.TableUpdate;
import org.sassafrastrail.messages.UsageUpdate;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.HostAndPort;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.wire.CachingCodec;
import org.sassafrastrail.wire.Link;
import org.sassafrastrail.wire.LinkCloseReason;
import org.sassafrastrail.wire.LinkDialer;
import org.sassafrastrail.wire.LinkListener;
import org.sassafrastrail.wire.LinkServer;
import org.sassafrastrail.wire.LinkSettings;
import org.sassafrastrail.wire.MessagePackCodec;

/** The links to the other gateways, which carry what gateways tell each other of their decisions, and copies of tables. */
final class PeerLinks implements Service, GatewayPeers, PeerNotifier, DutyPeers, LinkListener {

    private static final Duration REDIAL_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);

    /** A peer sends a full report every second, also when it is idle. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(4);

    /** The platform provides no secret that VMs share; only VMs of the fleet can reach each other's link addresses. */
    private static final String NO_KEY = "";

    private final GatewaySettings settings;
    private final Consumer<GatewayEvent> events;
    private final Supplier<TableWatchers> watchers;
    private final EventLog log;
    private final LinkSettings linkSettings;
    private final LinkServer server;
    private final Map<String, LinkDialer> dialers = new ConcurrentHashMap<>();
    /** The links to each peer, oldest first; there are two if each has the other as a seed. */
    private final Map<String, List<Link>> links = new ConcurrentHashMap<>();

    private final TableExchange tables;
    private volatile DutyMessageListener dutyListener = DutyMessageListener.NONE;

    PeerLinks(
            GatewaySettings settings,
            Incarnation incarnation,
            Consumer<GatewayEvent> events,
            Supplier<TableWatchers> watchers,
            Metrics metrics,
            EventLog log) {
        this.settings = settings;
        this.events = events;
        this.watchers = watchers;
        this.log = log;
        this.tables = new TableExchange(log);
        Hello greeting =
                new Hello(Hello.PROTOCOL_VERSION, NO_KEY, new NodeName(settings.node()), incarnation, Optional.empty());
        this.linkSettings = new LinkSettings(
                () -> greeting,
                new CachingCodec(new MessagePackCodec()),
                this,
                metrics,
                log,
                CONNECT_TIMEOUT,
                READ_TIMEOUT);
        HostAndPort own = HostAndPort.parse(settings.links());
        this.server = new LinkServer(own.host(), own.port(), linkSettings);
    }

    @Override
    public void start() {
        server.start();
        settings.seeds().forEach(this::dial);
    }

    @Override
    public void stop() {
        dialers.values().forEach(LinkDialer::stop);
        server.stop();
    }

    @Override
    public String linkAddress() {
        return settings.links();
    }

    @Override
    public void connectTo(Collection<String> gateways) {
        stopDialingOthersThan(gateways);
        // Of two registered gateways, the one with the smaller address dials, so that there is one link between them.
        gateways.stream()
                .filter(address -> settings.links().compareTo(address) < 0)
                .forEach(this::dialIfValid);
    }

    /** Stops dialing gateways that are gone. A link that works is kept: a registration may be missing though its gateway runs. */
    private void stopDialingOthersThan(Collection<String> gateways) {
        dialers.entrySet().stream()
                .filter(dialed -> !gateways.contains(dialed.getKey())
                        && !settings.seeds().contains(dialed.getKey())
                        && !dialed.getValue().isConnected())
                .forEach(dialed -> {
                    dialers.remove(dialed.getKey());
                    dialed.getValue().stop();
                });
    }

    /** Dials a registered address. One invalid registration does not keep the others from being dialed. */
    private void dialIfValid(String address) {
        try {
            dial(address);
        } catch (IllegalArgumentException invalid) {
            log.warn("peer-address-invalid", LogField.of("address", address), LogField.of("cause", invalid));
        }
    }

    private void dial(String address) {
        if (!address.isEmpty() && !address.equals(settings.links())) {
            dialers.computeIfAbsent(address, text -> {
                HostAndPort hostAndPort = HostAndPort.parse(text);
                LinkDialer dialer =
                        new LinkDialer(hostAndPort.host(), hostAndPort.port(), REDIAL_INTERVAL, linkSettings);
                dialer.start();
                return dialer;
            });
        }
    }

    /** Returns the addresses that are dialed whenever there is no link to them. */
    Set<String> dialedAddresses() {
        return Set.copyOf(dialers.keySet());
    }

    boolean isLinkedTo(String peer) {
        return links.containsKey(peer);
    }

    @Override
    public void shareTable(String table, WatchedTable watchedTable) {
        tables.share(table, watchedTable);
    }

    @Override
    public void followTable(String table, SharedTable sharedTable) {
        tables.follow(table, sharedTable);
    }

    @Override
    public boolean isWatcher() {
        return watchers.get().includeThisGateway();
    }

    @Override
    public void publish(String table, TableChanges changes) {
        TableUpdate update = TableMapper.toMessage(table, changes);
        watchers.get().others().forEach(peer -> sendTo(peer, update));
    }

    @Override
    public void requestTable(String table, StoreVersion version) {
        sendToAll(TableMapper.toMessage(table, version));
    }

    @Override
    public void sendReport(GatewayReport report) {
        sendToAll(LoadReportMapper.toMessage(report));
    }

    @Override
    public void shareCrashes(List<CrashReport> crashes) {
        sendToAll(CrashUpdateMapper.toMessage(crashes));
    }

    @Override
    public void shareDrainNotices(List<DrainReport> reports) {
        sendToAll(DrainUpdateMapper.toMessage(reports));
    }

    @Override
    public void shareRateLimits(List<LimitReport> reports) {
        sendToAll(RateLimitMapper.toMessage(reports));
    }

    @Override
    public void announceDomain(FailureDomainName domain) {
        sendToAll(new DomainAnnouncement(domain));
    }

    @Override
    public void shareCapacity(CapacityReport report) {
        sendToAll(CapacityUpdateMapper.toMessage(report));
    }

    @Override
    public void requestPermit(GatewayAction.RequestPermit request) {
        sendTo(request.gateway(), RateLimitMapper.toMessage(request));
    }

    @Override
    public void answerPermitRequest(GatewayAction.AnswerPermitRequest answer) {
        sendTo(answer.gateway(), RateLimitMapper.toMessage(answer));
    }

    @Override
    public void shareUsage(UsageUpdate update) {
        sendToAll(update);
    }

    @Override
    public void announceLease(DutyUpdate update) {
        sendToAll(update);
    }

    @Override
    public Set<String> linkedPeers() {
        return Set.copyOf(links.keySet());
    }

    @Override
    public void listen(DutyMessageListener listener) {
        dutyListener = listener;
    }

    private void sendTo(String peer, Message message) {
        links.getOrDefault(peer, List.of()).stream().findFirst().ifPresent(link -> link.send(message));
    }

    private void sendToAll(Message message) {
        links.values().forEach(peer -> peer.stream().findFirst().ifPresent(link -> link.send(message)));
    }

    @Override
    public void opened(Link link) {
        String peer = link.peer().node().value();
        links.merge(peer, List.of(link), PeerLinks::append);
        log.info("peer-linked", LogField.of("peer", peer), LogField.of("host", link.host()));
        events.accept(new GatewayEvent.PeerConnected(peer));
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof LoadReport report) {
            events.accept(new GatewayEvent.PeerReportReceived(
                    link.peer().node().value(), LoadReportMapper.fromMessage(report)));
        } else if (message instanceof CrashUpdate update) {
            events.accept(new GatewayEvent.PeerCrashesReceived(CrashUpdateMapper.fromMessage(update)));
        } else if (message instanceof DrainUpdate update) {
            events.accept(new GatewayEvent.PeerDrainNoticesReceived(DrainUpdateMapper.fromMessage(update)));
        } else if (message instanceof LimitUpdate update) {
            events.accept(new GatewayEvent.PeerRateLimitsReceived(RateLimitMapper.fromMessage(update)));
        } else if (message instanceof DomainAnnouncement announcement) {
            events.accept(new GatewayEvent.PeerDomainReceived(link.peer().node().value(), announcement.domain()));
        } else if (message instanceof CapacityUpdate update) {
            events.accept(new GatewayEvent.PeerCapacityReceived(
                    link.peer().node().value(),
                    link.peer().incarnation().value(),
                    CapacityUpdateMapper.fromMessage(update)));
        } else if (message instanceof PermitRequest request && RateLimitMapper.isValid(request.upstream())) {
            events.accept(new GatewayEvent.PermitRequested(
                    link.peer().node().value(), RateLimitMapper.fromMessage(request.upstream())));
        } else if (message instanceof PermitAnswer answer) {
            events.accept(RateLimitMapper.fromMessage(answer));
        } else if (message instanceof CopyRequest request) {
            tables.answer(request).ifPresent(link::send);
        } else if (message instanceof TableCopy copy) {
            tables.received(link.peer().node(), copy);
        } else if (message instanceof TableUpdate update) {
            tables.received(update);
        } else if (message instanceof UsageUpdate update) {
            dutyListener.usageReceived(holder(link), update);
        } else if (message instanceof DutyUpdate update) {
            dutyListener.leaseReceived(holder(link), update);
        }
    }

    private static DutyHolder holder(Link link) {
        return new DutyHolder(
                link.peer().node().value(), link.peer().incarnation().value());
    }

    @Override
    public void closed(Link link, LinkCloseReason reason) {
        String peer = link.peer().node().value();
        List<Link> remaining = links.computeIfPresent(peer, (name, present) -> present.stream()
                .filter(other -> other != link)
                .toList());
        if (remaining != null && remaining.isEmpty() && links.remove(peer, remaining)) {
            log.info("peer-lost", LogField.of("peer", peer), LogField.of("reason", reason));
            events.accept(new GatewayEvent.PeerDisconnected(peer));
        }
    }

    private static List<Link> append(List<Link> present, List<Link> added) {
        return Stream.concat(present.stream(), added.stream()).toList();
    }
}
