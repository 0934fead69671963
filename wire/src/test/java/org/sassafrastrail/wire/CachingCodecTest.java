package org.sassafrastrail.wire;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.messages.LoadReport;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.UpstreamLoad;

import static org.assertj.core.api.Assertions.assertThat;

/** Verifies that a message is encoded once for all links. */
class CachingCodecTest {

    private final CachingCodec codec = new CachingCodec(new MessagePackCodec());

    private static Message report(int running) {
        return new LoadReport(true, List.of(new UpstreamLoad("engine", running, 10)), List.of());
    }

    /** Guards against the repeated encoding of one report for each of 20 peers, on VMs with a quarter of a core (FAIR). */
    @Test
    void messageSentOverManyLinksIsEncodedOnce() {
        Message report = report(1);
        byte[] first = codec.encode(report);
        assertThat(codec.encode(report)).isSameAs(first);
    }

    @Test
    void differentMessagesHaveSeparateEncodings() {
        codec.encode(report(1));
        assertThat(codec.decode(codec.encode(report(2)))).isEqualTo(new DecodeResult.Decoded(report(2)));
        assertThat(codec.decode(codec.encode(report(1)))).isEqualTo(new DecodeResult.Decoded(report(1)));
    }
}
