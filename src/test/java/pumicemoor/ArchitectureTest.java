package pumicemoor;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import pumicemoor.calls.CallState;
import pumicemoor.node.Effect;

/** Checks the dependencies between the layers of docs/architecture.md. */
class ArchitectureTest {

    private static final String[] DECISION_PACKAGES = {
        "pumicemoor", "pumicemoor.hierarchy..", "pumicemoor.calls..", "pumicemoor.idempotency..", "pumicemoor.fleet.."
    };
    private static final String[] LOWER_LAYERS = {
        "pumicemoor",
        "pumicemoor.hierarchy..",
        "pumicemoor.calls..",
        "pumicemoor.idempotency..",
        "pumicemoor.fleet..",
        "pumicemoor.node.."
    };
    private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("pumicemoor");

    @Test
    void decisionPackagesDependOnTheJdkAndOnEachOtherOnly() {
        classes()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java..",
                        "pumicemoor",
                        "pumicemoor.hierarchy..",
                        "pumicemoor.calls..",
                        "pumicemoor.idempotency..",
                        "pumicemoor.fleet..",
                        "com.google.re2j..")
                .check(PRODUCTION_CLASSES);
        classes()
                .that()
                .resideInAPackage("pumicemoor")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("java..", "pumicemoor")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void lowerLayersUseNoFilesSocketsThreadsOrClocks() {
        noClasses()
                .that()
                .resideInAnyPackage(LOWER_LAYERS)
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
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void onlyRouterClockReadsTheWallClock() {
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
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void noDependencyPointsUpwardsAndNoneIsCyclic() {
        noClasses()
                .that()
                .resideInAnyPackage("pumicemoor.wire..", "pumicemoor.operator..", "pumicemoor.node..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("pumicemoor.net..", "pumicemoor.extproc..", "pumicemoor.cli..", "pumicemoor.lab..")
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages("pumicemoor.lab..", "pumicemoor.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("pumicemoor.lab..", "pumicemoor.cli..")
                .check(PRODUCTION_CLASSES);
        slices().matching("pumicemoor.(*)..").should().beFreeOfCycles().check(PRODUCTION_CLASSES);
    }

    /** Refusals promise that trying again does no harm: {@link RefusalPolicy} decides each, whoever sends it. */
    @Test
    void noRefusalIsMadeWithoutTheRefusalPolicy() {
        classes()
                .that(accessField(Effect.Code.class, "REFUSED"))
                .should()
                .haveFullyQualifiedName(Effect.Code.class.getName()) // made from a Rejection
                .orShould()
                .haveFullyQualifiedName("pumicemoor.net.ClientFrame") // encodes
                .orShould()
                .haveFullyQualifiedName("pumicemoor.node.Reducer") // counts
                .check(PRODUCTION_CLASSES);
        classes()
                .that(accessField(CallState.Code.class, "REFUSED"))
                .should()
                .haveFullyQualifiedName(CallState.Code.class.getName())
                .orShould()
                .haveFullyQualifiedName(CallState.class.getName()) // made from a Rejection
                .orShould()
                .haveFullyQualifiedName("pumicemoor.extproc.ExtProcService$ProxyStream") // encodes
                .check(PRODUCTION_CLASSES);
        classes()
                .that(DescribedPredicate.describe(
                        "create RouterApi.Refuse", (JavaClass c) -> c.getConstructorCallsFromSelf().stream()
                                .anyMatch(call -> call.getTargetOwner().isEquivalentTo(RouterApi.Refuse.class))))
                .should()
                .haveFullyQualifiedName(Logic.class.getName()) // as the policy says
                .check(PRODUCTION_CLASSES);
    }

    private static DescribedPredicate<JavaClass> accessField(Class<?> owner, String field) {
        return DescribedPredicate.describe(
                "access " + owner.getName() + "." + field, c -> c.getFieldAccessesFromSelf().stream()
                        .anyMatch(access -> access.getTarget().getOwner().isEquivalentTo(owner)
                                && access.getTarget().getName().equals(field)));
    }

    /** Only the scale tool may use libraries for statistics and plots: nothing that serves requests may load them. */
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
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages("pumicemoor.lab..", "pumicemoor.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("pumicemoor.lab.scale..")
                .check(PRODUCTION_CLASSES);
    }
}
