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

/** The steps of the scenarios, over cores in memory. */
public final class SessionSteps {

    private static final Duration SETTLING = Duration.ofSeconds(4);
    private static final Duration PATIENCE = Duration.ofSeconds(6);
    private static final int COLD = 1;
    private static final int WARM = 2;

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
    private String rules = "";

    @Given("{int} router(s) and these sidecars")
    public void fleet(int routers, Map<String, String> domainsOfSidecars) {
        IntStream.range(0, routers).forEach(number -> fleet.addRouter());
        domainsOfSidecars.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> fleet.addSidecar("v1", entry.getValue()));
    }

    @Given("calls that may be repeated")
    public void repeatable() {
        inForce(RuleTexts.model(COLD, WARM, Map.of("guest", 1, "kitchen", 2)));
    }

    @Given("calls that may not be repeated")
    public void unrepeatable() {
        inForce(RuleTexts.unrepeatable(COLD, WARM, Map.of("guest", 1, "kitchen", 2)));
    }

    private void inForce(String text) {
        rules = text;
        fleet.accept(text);
        fleet.time().runFor(SETTLING);
        fleet.log().begin();
    }

    @When("{word} asks router {int} for {int} tokens")
    public void asks(String account, int router, int tokens) {
        fleet.submit(router(router), account, tokens, tokens, false, PATIENCE);
    }

    @When("{int} ms pass")
    public void pass(int milliseconds) {
        fleet.time().runFor(Duration.ofMillis(milliseconds));
    }

    @When("the link between router {int} and sidecar {int} is cut")
    public void cut(int router, int sidecar) {
        fleet.cut(router(router), sidecar(sidecar));
    }

    @When("the link between router {int} and sidecar {int} is back")
    public void heal(int router, int sidecar) {
        fleet.heal(router(router), sidecar(sidecar));
    }

    @When("sidecar {int} freezes")
    public void freeze(int sidecar) {
        sidecar(sidecar).freeze(true);
    }

    @When("sidecar {int} thaws")
    public void thaw(int sidecar) {
        sidecar(sidecar).freeze(false);
    }

    @When("sidecar {int} restarts with empty memory")
    public void restart(int sidecar) {
        sidecar(sidecar).restart();
    }

    @When("the upstream of sidecar {int} falls over")
    public void fall(int sidecar) {
        sidecar(sidecar).engine().fall(sidecar(sidecar));
    }

    @When("operators take failure domain {word} out")
    public void out(String domain) {
        rules = rules.replace("domain " + domain + " in", "domain " + domain + " out");
        fleet.accept(rules);
    }

    @When("operators move the version from v1 to v2 within {int} seconds")
    public void move(int seconds) {
        Instant due = fleet.time().now().plusSeconds(seconds);
        fleet.accept(rules + "move " + VirtualFleet.TARGET + " from v1 to v2 by " + due + " # test\n");
    }

    @Then("every request ended as {string}")
    public void ended(String how) {
        assertThat(fleet.endings().values()).isNotEmpty().containsOnly(how);
    }

    @Then("the session reads as {word}")
    public void reads(String name) {
        ApprovalFailureReporter reporter =
                Boolean.getBoolean("golden.update") ? new AutoApproveReporter() : new QuietReporter();
        Approvals.verify(fleet.log().text(), new Options(reporter).forFile().withNamer(new SessionNamer(name)));
    }

    private VirtualRouter router(int number) {
        return fleet.routers().get(number - 1);
    }

    private VirtualSidecar sidecar(int number) {
        return fleet.sidecars().get(number - 1);
    }
}
