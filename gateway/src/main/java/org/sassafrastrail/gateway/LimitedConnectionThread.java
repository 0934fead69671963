package org.sassafrastrail.gateway;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on another I/O thread and puts an {@link UnproductiveReadLimit} and a {@link ChunkChecker} in front of
 * what reads from them. Undertow's client takes an I/O thread to open its connections, and has no other place for them. This object is
 * never started as a thread. Confined to the other thread.
 */
final class LimitedConnectionThread extends XnioIoThread {

    private final XnioIoThread thread;
    private UnproductiveReadLimit lastLimit;
    private ChunkChecker lastChecker;

    LimitedConnectionThread(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /** Returns the limit of the connection that was opened last. */
    UnproductiveReadLimit lastLimit() {
        return lastLimit;
    }

    /** Returns the checker of the connection that was opened last. */
    ChunkChecker lastChecker() {
        return lastChecker;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        return thread.openStreamConnection(
                destination,
                connection -> {
                    lastLimit = new UnproductiveReadLimit(
                            connection.getSourceChannel().getConduit());
                    lastChecker = new ChunkChecker();
                    connection.getSourceChannel().setConduit(new CheckedSource(lastLimit, lastChecker));
                    openListener.handleEvent(connection);
                },
                options);
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
