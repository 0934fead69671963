package review3;

/** Starts daemon threads. */
final class Threads {

    private Threads() {}

    /** A task that may fail because a socket was closed. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception closed) {
                        // A peer closed its channel, or this side did: the channel has ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
