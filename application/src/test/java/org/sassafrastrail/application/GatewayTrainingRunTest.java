package org.sassafrastrail.application;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sassafrastrail.operator.ExitCode;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(60)
class GatewayTrainingRunTest {

    @Test
    void gatewayAnswersRequestsAndProgramEnds() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ExitCode code = Main.run(List.of("rehearse"), Clock.systemUTC(), new PrintStream(output));
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("rehearsed");
        assertThat(code).isEqualTo(ExitCode.DONE);
    }
}
