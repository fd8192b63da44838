package pumicemoor;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Holds the arrows between the floors of docs/architecture.md. */
class ArchitectureTest {

    private static final String[] DECIDING = {
        "pumicemoor", "pumicemoor.hierarchy..", "pumicemoor.calls..", "pumicemoor.fleet.."
    };
    private static final String[] LOWER = {
        "pumicemoor", "pumicemoor.hierarchy..", "pumicemoor.calls..", "pumicemoor.fleet..", "pumicemoor.node.."
    };
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("pumicemoor");

    @Test
    void decisionsUseNothingButTheJdkAndWhatTheyDecide() {
        classes()
                .that()
                .resideInAnyPackage(DECIDING)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java..",
                        "pumicemoor",
                        "pumicemoor.hierarchy..",
                        "pumicemoor.calls..",
                        "pumicemoor.fleet..",
                        "com.google.re2j..")
                .check(ALL);
        classes()
                .that()
                .resideInAPackage("pumicemoor")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("java..", "pumicemoor")
                .check(ALL);
    }

    @Test
    void noFileSocketThreadOrClockBelowTheFronts() {
        noClasses()
                .that()
                .resideInAnyPackage(LOWER)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "io.netty..", "java.util.concurrent.locks..")
                .orShould()
                .dependOnClassesThat(
                        DescribedPredicate.describe("Thread", c -> c.getName().equals("java.lang.Thread")))
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .check(ALL);
    }

    @Test
    void theWallClockIsReadByTheRouterClockAlone() {
        noClasses()
                .that()
                .resideOutsideOfPackages("pumicemoor.lab..")
                .and()
                .doNotHaveSimpleName("RouterClock")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock")
                .check(ALL);
    }

    @Test
    void noArrowUpAndNoCircle() {
        noClasses()
                .that()
                .resideInAnyPackage("pumicemoor.wire..", "pumicemoor.operator..", "pumicemoor.node..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("pumicemoor.net..", "pumicemoor.extproc..", "pumicemoor.cli..", "pumicemoor.lab..")
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackages("pumicemoor.lab..", "pumicemoor.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("pumicemoor.lab..", "pumicemoor.cli..")
                .check(ALL);
        slices().matching("pumicemoor.(*)..").should().beFreeOfCycles().check(ALL);
    }

    /** Statistics and plots are the scale tool's alone: nothing that serves may load them. */
    @Test
    void statisticsAndPlotsStayInTheScaleTool() {
        noClasses()
                .that()
                .resideOutsideOfPackage("pumicemoor.lab.scale..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.apache.commons.math3..",
                        "org.knowm..",
                        "org.apache.batik..",
                        "java.awt..",
                        "javax.swing..")
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackages("pumicemoor.lab..", "pumicemoor.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("pumicemoor.lab.scale..")
                .check(ALL);
    }
}
