package io.beryldock;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The directions in which packages may depend on each other. */
@AnalyzeClasses(packages = "io.beryldock", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {

    private ArchitectureTest() {}

    private static final String[] DECISIONS = {
        "io.beryldock.call..",
        "io.beryldock.admission..",
        "io.beryldock.retry..",
        "io.beryldock.routing..",
        "io.beryldock.quarantine..",
        "io.beryldock.idempotency..",
        "io.beryldock.membership..",
        "io.beryldock.configuration..",
        "io.beryldock.organisation..",
        "io.beryldock.timeline..",
        "io.beryldock.share..",
        "io.beryldock.waiting..",
        "io.beryldock.quota..",
        "io.beryldock.credit..",
        "io.beryldock.load..",
    };

    @ArchTest
    static final ArchRule DECISIONS_KNOW_NO_PLUMBING = noClasses()
            .that()
            .resideInAnyPackage(DECISIONS)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "com.google.inject..",
                    "io.dropwizard..",
                    "jakarta.ws.rs..",
                    "jakarta.servlet..",
                    "org.apache.hc..",
                    "org.eclipse.jetty..",
                    "org.glassfish..");

    @ArchTest
    static final ArchRule DECISIONS_KNOW_NO_ASSEMBLY = noClasses()
            .that()
            .resideInAnyPackage(DECISIONS)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.beryldock.http..",
                    "io.beryldock.nettyhttp..",
                    "io.beryldock.eventloop..",
                    "io.beryldock.platform..",
                    "io.beryldock.node..",
                    "io.beryldock.cli..",
                    "io.beryldock.standin..",
                    "io.beryldock.demo..",
                    "io.beryldock.measure..");

    @ArchTest
    static final ArchRule ONLY_COMMANDS_KNOW_THE_PLATFORM_ADAPTER = noClasses()
            .that()
            .resideOutsideOfPackages("io.beryldock.platform..", "io.beryldock.cli..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("io.beryldock.platform..");

    @ArchTest
    static final ArchRule ONLY_THE_SOAK_STARTS_PROCESSES = noClasses()
            .that()
            .resideOutsideOfPackage("io.beryldock.soak..")
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.ProcessBuilder")
            .orShould()
            .callMethod(Runtime.class, "exec", String.class);

    @ArchTest
    static final ArchRule NO_NODE_KNOWS_THE_SOAK = noClasses()
            .that()
            .resideOutsideOfPackages("io.beryldock.soak..", "io.beryldock.cli..")
            .and()
            .haveNameNotMatching("io\\.beryldock\\.platform\\.Soak.*")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("io.beryldock.soak..");

    @ArchTest
    static final ArchRule PACKAGES_FORM_NO_CYCLE =
            slices().matching("io.beryldock.(*)..").should().beFreeOfCycles();
}
