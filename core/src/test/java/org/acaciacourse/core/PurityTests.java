package org.acaciacourse.core;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/**
 * Checks that the core uses no I/O, threads or clocks, so that every decision can run in
 * virtual time.
 */
class PurityTests {

	@Test
	void coreHasNoInputOutputThreadsOrClocks() {
		ArchRule rule = ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.nio.file..", "java.nio.channels..", "java.net.http..", "java.util.concurrent..",
					"io.netty..", "org.apache.thrift..", "org.asynchttpclient..")
			.orShould()
			.dependOnClassesThat()
			.belongToAnyOf(Thread.class, java.time.Clock.class, java.net.Socket.class, java.io.File.class)
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(Math.class, "random");
		rule.check(new ClassFileImporter().withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
			.importPackages("org.acaciacourse.core"));
	}

}
