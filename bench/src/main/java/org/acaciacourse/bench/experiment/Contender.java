package org.acaciacourse.bench.experiment;

import java.util.Map;

import org.acaciacourse.core.dispatch.DispatchActions;
import org.acaciacourse.core.dispatch.Dispatcher;
import org.acaciacourse.core.dispatch.PolicyDispatcher;
import org.acaciacourse.core.model.Manifest;
import org.acaciacourse.core.model.PolicyKind;

/**
 * What is compared: a policy with its parameters, or the oracle.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the name in reports
 * @param kind the policy
 * @param parameters its parameters
 * @param isCentral whether it is the oracle, which decides for all entry VMs
 */
record Contender(String name, PolicyKind kind, Map<String, Double> parameters, boolean isCentral) {

	static final Contender ORACLE = new Contender("oracle", PolicyKind.TIERED, Map.of(), true);

	static Contender of(PolicyKind kind) {
		return new Contender(kind.label(), kind, Map.of(), false);
	}

	boolean heedsTiers() {
		return this.kind == PolicyKind.TIERED && !this.isCentral;
	}

	Manifest manifest(Site site) {
		return site.manifest(this.kind, this.parameters);
	}

	Dispatcher dispatcher(DispatchActions actions, World world, long seed) {
		return (this.isCentral) ? new Oracle(actions, world) : new PolicyDispatcher(actions, seed);
	}

}
