package org.sassafrastrail.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Opens connections on another I/O thread and wraps what reads from them. Undertow's client takes an I/O thread to open its
 * connections, and has no other place for that. This object is never started as a thread.
 */
public final class SourceWrappingThread extends XnioIoThread {

    private final XnioIoThread thread;
    private final UnaryOperator<StreamSourceConduit> wrapper;

    /**
     * Creates the thread object.
     *
     * @param thread the I/O thread that opens the connections and serves them
     * @param wrapper wraps the source of each new connection, on the I/O thread
     */
    public SourceWrappingThread(XnioIoThread thread, UnaryOperator<StreamSourceConduit> wrapper) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
        this.wrapper = wrapper;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        return thread.openStreamConnection(
                destination,
                connection -> {
                    connection
                            .getSourceChannel()
                            .setConduit(
                                    wrapper.apply(connection.getSourceChannel().getConduit()));
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
