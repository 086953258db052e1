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
 * @param sharing how the entry VMs share the engines
 */
record Contender(String name, PolicyKind kind, Map<String, Double> parameters, Sharing sharing) {

	static final Contender ORACLE = new Contender("oracle", PolicyKind.TIERED, Map.of(), Sharing.ORACLE);

	static final Contender OWNERS = new Contender("owners", PolicyKind.TIERED, Map.of(), Sharing.OWNERS);

	static Contender of(PolicyKind kind) {
		return new Contender(kind.label(), kind, Map.of(), Sharing.INDEPENDENT);
	}

	boolean isCentral() {
		return this.sharing == Sharing.ORACLE;
	}

	boolean heedsTiers() {
		return this.kind == PolicyKind.TIERED && !isCentral();
	}

	Manifest manifest(Site site, int entry) {
		int owners = (this.sharing == Sharing.OWNERS) ? site.owners() : 1;
		return site.manifest(this.kind, this.parameters, entry % owners, owners);
	}

	Dispatcher dispatcher(DispatchActions actions, World world, long seed) {
		return (isCentral()) ? new Oracle(actions, world) : new PolicyDispatcher(actions, seed);
	}

	/** How the entry VMs share the engines. */
	enum Sharing {

		/** Each VM chooses among all engines by what it knows. */
		INDEPENDENT,

		/**
		 * Each engine has an owner VM, which alone sends to it; others forward to the
		 * owner with fewer open requests of two. Its count is taken as known without a
		 * lag, which flatters it.
		 */
		OWNERS,

		/** One dispatcher that knows everything. */
		ORACLE

	}

}
