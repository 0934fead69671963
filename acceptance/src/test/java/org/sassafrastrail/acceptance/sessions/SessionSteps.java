package org.sassafrastrail.acceptance.sessions;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.stream.IntStream;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.approvaltests.Approvals;
import org.approvaltests.core.ApprovalFailureReporter;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.AutoApproveReporter;
import org.approvaltests.reporters.QuietReporter;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRouter;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;

import static org.assertj.core.api.Assertions.assertThat;

/** Implements the steps of the scenarios over a fleet simulated in memory. */
public final class SessionSteps {

    private static final Duration SETTLING_TIME = Duration.ofSeconds(4);
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(6);
    private static final int COLD_LIMIT = 1;
    private static final int WARM_LIMIT = 2;

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
    private String rules = "";

    @Given("{int} router(s) and these sidecars")
    public void startFleet(int routers, Map<String, String> domainsOfSidecars) {
        IntStream.range(0, routers).forEach(number -> fleet.addRouter());
        domainsOfSidecars.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> fleet.addSidecar("v1", entry.getValue()));
    }

    @Given("idempotent calls")
    public void idempotentCalls() {
        publishRules(RuleTexts.idempotentModel(COLD_LIMIT, WARM_LIMIT, Map.of("guest", 1, "kitchen", 2)));
    }

    @Given("non-idempotent calls")
    public void nonIdempotentCalls() {
        publishRules(RuleTexts.nonIdempotentModel(COLD_LIMIT, WARM_LIMIT, Map.of("guest", 1, "kitchen", 2)));
    }

    private void publishRules(String text) {
        rules = text;
        fleet.publishRules(text);
        fleet.time().runFor(SETTLING_TIME);
        fleet.transcript().startRecording();
    }

    @When("{word} sends router {int} a request for {int} tokens")
    public void sendRequest(String account, int router, int tokens) {
        fleet.submit(router(router), account, tokens, tokens, false, MAXIMUM_WAIT);
    }

    @When("{int} ms pass")
    public void advanceTime(int milliseconds) {
        fleet.time().runFor(Duration.ofMillis(milliseconds));
    }

    @When("the link between router {int} and sidecar {int} is cut")
    public void cutLink(int router, int sidecar) {
        fleet.cutLink(router(router), sidecar(sidecar));
    }

    @When("the link between router {int} and sidecar {int} is restored")
    public void restoreLink(int router, int sidecar) {
        fleet.restoreLink(router(router), sidecar(sidecar));
    }

    @When("sidecar {int} freezes")
    public void freezeSidecar(int sidecar) {
        sidecar(sidecar).setFrozen(true);
    }

    @When("sidecar {int} thaws")
    public void thawSidecar(int sidecar) {
        sidecar(sidecar).setFrozen(false);
    }

    @When("sidecar {int} restarts with empty memory")
    public void restartSidecar(int sidecar) {
        sidecar(sidecar).restart();
    }

    @When("the upstream of sidecar {int} crashes")
    public void crashUpstream(int sidecar) {
        sidecar(sidecar).engine().crash(sidecar(sidecar));
    }

    @When("operators take failure domain {word} out of service")
    public void takeDomainOut(String domain) {
        rules = rules.replace("domain " + domain + " in", "domain " + domain + " out");
        fleet.publishRules(rules);
    }

    @When("operators order a move from v1 to v2 within {int} seconds")
    public void orderMove(int seconds) {
        Instant due = fleet.time().now().plusSeconds(seconds);
        fleet.publishRules(rules + "move " + VirtualFleet.TARGET + " from v1 to v2 by " + due + " # test\n");
    }

    @Then("every request ended as {string}")
    public void assertOutcomes(String outcome) {
        assertThat(fleet.outcomes().values()).isNotEmpty().containsOnly(outcome);
    }

    @Then("the transcript matches {word}")
    public void assertTranscript(String name) {
        ApprovalFailureReporter reporter =
                Boolean.getBoolean("golden.update") ? new AutoApproveReporter() : new QuietReporter();
        Approvals.verify(
                fleet.transcript().text(), new Options(reporter).forFile().withNamer(new SessionNamer(name)));
    }

    private VirtualRouter router(int number) {
        return fleet.routers().get(number - 1);
    }

    private VirtualSidecar sidecar(int number) {
        return fleet.sidecars().get(number - 1);
    }
}
