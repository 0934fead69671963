package org.sassafrastrail.sidecar;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.wire.Link;
import org.sassafrastrail.wire.LinkCloseReason;
import org.sassafrastrail.wire.LinkListener;

/** Open links from routers, by router. */
final class RouterLinks implements LinkListener {

    private final Consumer<SidecarEvent> control;
    private final Map<NodeName, Link> links = new ConcurrentHashMap<>();

    RouterLinks(Consumer<SidecarEvent> control) {
        this.control = control;
    }

    void send(NodeName router, Message message) {
        Optional.ofNullable(links.get(router)).ifPresent(link -> link.send(message));
    }

    @Override
    public void opened(Link link) {
        links.put(link.peer().node(), link);
        control.accept(new SidecarEvent.RouterConnected(link.peer().node(), link.number()));
    }

    @Override
    public void received(Link link, Message message) {
        control.accept(new SidecarEvent.RouterMessageReceived(link.peer().node(), message));
    }

    @Override
    public void closed(Link link, LinkCloseReason reason) {
        links.remove(link.peer().node(), link);
        control.accept(new SidecarEvent.RouterDisconnected(link.peer().node(), link.number()));
    }
}
