package org.sassafrastrail.acceptance;

import java.util.Arrays;
import java.util.stream.Stream;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/**
 * Checks the architecture of the code base: the cores depend on no I/O, clock, thread or randomness, their state is
 * immutable, dependencies have no cycles, only the wire package uses MessagePack, and no thread busy-waits.
 */
@AnalyzeClasses(packages = "org.sassafrastrail", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    private static final String ROOT = "org.sassafrastrail.";
    private static final String[] CORES = {
        ROOT + "model..",
        ROOT + "decision..",
        ROOT + "rules..",
        ROOT + "fairness..",
        ROOT + "messages..",
        ROOT + "rollout..",
        ROOT + "router.core..",
        ROOT + "sidecar.core..",
        ROOT + "gate..",
        ROOT + "duty.."
    };

    @ArchTest
    static final ArchRule CORES_DEPEND_ONLY_ON_VALUE_TYPES = classes()
            .that()
            .resideInAnyPackage(CORES)
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(concat(
                    CORES,
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.regex",
                    "java.util.stream",
                    "java.time..",
                    "java.nio",
                    "java.nio.charset",
                    "java.security",
                    "org.pcollections"));

    @ArchTest
    static final ArchRule CORES_USE_NO_CLOCK_THREADS_OR_RANDOMNESS = noClasses()
            .that()
            .resideInAnyPackage(CORES)
            .should()
            .callMethod(java.time.Instant.class, "now")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Thread.class)
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(java.util.Random.class);

    @ArchTest
    static final ArchRule STATE_IS_IMMUTABLE = fields().that()
            .areDeclaredInClassesThat()
            .resideInAnyPackage(
                    ROOT + "model..",
                    ROOT + "decision..",
                    ROOT + "fairness..",
                    ROOT + "messages..",
                    ROOT + "rollout..",
                    ROOT + "router.core..",
                    ROOT + "sidecar.core..",
                    ROOT + "gate..",
                    ROOT + "duty..")
            .should()
            .beFinal();

    @ArchTest
    static final ArchRule DEPENDENCIES_HAVE_NO_CYCLES =
            slices().matching("org.sassafrastrail.(**)").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule ONLY_WIRE_DEPENDS_ON_MESSAGE_PACK = noClasses()
            .that()
            .resideOutsideOfPackage(ROOT + "wire..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.msgpack..");

    @ArchTest
    static final ArchRule NO_BUSY_WAITING = noClasses()
            .should()
            .callMethod(Thread.class, "onSpinWait")
            .orShould()
            .callMethod(Thread.class, "yield");

    private static String[] concat(String[] first, String... second) {
        return Stream.concat(Arrays.stream(first), Arrays.stream(second)).toArray(String[]::new);
    }
}
