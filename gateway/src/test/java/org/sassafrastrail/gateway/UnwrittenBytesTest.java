package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against ORDER: when a stream was resumed while the caller read slowly, the events of the second upstream replaced
 * those of the first that were not written yet.
 */
class UnwrittenBytesTest {

    /** A channel that accepts a limited number of bytes. */
    private static final class LimitedChannel implements WritableByteChannel {

        private final ByteArrayOutputStream written = new ByteArrayOutputStream();
        private int room;

        @Override
        public int write(ByteBuffer source) {
            int count = Math.min(room, source.remaining());
            for (int index = 0; index < count; index++) {
                written.write(source.get());
            }
            room -= count;
            return count;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {
            // Nothing is held open.
        }
    }

    private final LimitedChannel channel = new LimitedChannel();
    private final UnwrittenBytes unwritten = new UnwrittenBytes();

    private boolean write(String text) throws IOException {
        return unwritten.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), channel);
    }

    @Test
    void whatFitsIsWrittenAtOnce() throws IOException {
        channel.room = 3;
        assertThat(write("abc")).isTrue();
        assertThat(unwritten.isEmpty()).isTrue();
        assertThat(channel.written).hasToString("abc");
    }

    @Test
    void laterPartFollowsWhatIsUnwritten() throws IOException {
        channel.room = 2;
        assertThat(write("abc")).isFalse();
        assertThat(write("de")).isFalse();
        channel.room = 1;
        assertThat(write("f")).isFalse();
        assertThat(unwritten.writeRest(channel)).isFalse();
        channel.room = 10;
        assertThat(unwritten.writeRest(channel)).isTrue();
        assertThat(channel.written).hasToString("abcdef");
    }
}
