package org.acaciacourse.core.state;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.manifest.ManifestDelta;
import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.state.CommandResult.ManifestResult;
import org.acaciacourse.core.state.ControlStateSnapshot.ActiveManifest;
import org.acaciacourse.core.state.ControlStateSnapshot.AuditEntry;
import org.acaciacourse.core.state.ControlStateSnapshot.ManifestChange;

/**
 * The active manifest, its latest changes and the audit log. Invariants: the number of
 * the active manifest only increases; the changes kept form a chain that ends at the
 * active manifest.
 * <p>
 * Not thread safe: belongs to one {@link ControlState}.
 */
final class ManifestStore {

	static final int MAX_CHANGES = 512;

	/** Bounds the memory of the history when each change affects many sections. */
	static final int MAX_CHANGED_SECTIONS = 5_000;

	static final int MAX_AUDIT_ENTRIES = 1_000;

	private final Deque<ManifestChange> history;

	private final Deque<AuditEntry> audit;

	private ActiveManifest active;

	private int sectionsInHistory;

	ManifestStore(ActiveManifest inForce, List<ManifestChange> history, List<AuditEntry> audit) {
		this.active = inForce;
		this.history = new ArrayDeque<>(history);
		this.audit = new ArrayDeque<>(audit);
		this.sectionsInHistory = history.stream().mapToInt((change) -> sectionCount(change.delta())).sum();
	}

	ManifestResult put(Command.PutManifest command, long time) {
		if (command.number() < this.active.number()) {
			return result(ResultCode.MANIFEST_OUTDATED);
		}
		if (command.number() == this.active.number()) {
			// A resend after a lost reply gets the original result.
			boolean same = command.digest().equals(this.active.digest());
			return result((same) ? ResultCode.OK : ResultCode.MANIFEST_CONFLICT);
		}
		if (!command.baseDigest().equals(this.active.digest())) {
			return result(ResultCode.MANIFEST_BASE_CHANGED);
		}
		ManifestDocument next = this.active.document().with(command.delta());
		if (!next.digest().equals(command.digest())) {
			return result(ResultCode.INVALID_MANIFEST);
		}
		appendChange(command, next, time);
		this.active = new ActiveManifest(command.number(), command.digest(), next);
		return result(ResultCode.OK);
	}

	ActiveManifest active() {
		return this.active;
	}

	List<ManifestChange> history() {
		return List.copyOf(this.history);
	}

	List<AuditEntry> audit() {
		return List.copyOf(this.audit);
	}

	Optional<ManifestDelta> deltaFrom(long number, String digest) {
		SortedMap<String, SortedMap<String, String>> changed = new TreeMap<>();
		Set<String> removed = new HashSet<>();
		boolean found = number == this.active.number() && digest.equals(this.active.digest());
		for (ManifestChange change : this.history) {
			found = found || (change.baseNumber() == number && change.baseDigest().equals(digest));
			if (found && change.number() > number) {
				ManifestDelta delta = change.delta();
				changed.keySet().removeAll(delta.removed());
				removed.addAll(delta.removed());
				changed.putAll(delta.changed());
				removed.removeAll(delta.changed().keySet());
			}
		}
		return (found) ? Optional.of(new ManifestDelta(changed, removed)) : Optional.empty();
	}

	// The history shares the sections of the document, which takes no memory for them
	// until they change again.
	private void appendChange(Command.PutManifest command, ManifestDocument next, long time) {
		ManifestDelta delta = this.active.document().deltaTo(next);
		int sections = sectionCount(delta);
		this.history.addLast(new ManifestChange(command.number(), command.digest(), this.active.number(),
				this.active.digest(), delta));
		this.sectionsInHistory += sections;
		while (this.history.size() > MAX_CHANGES || this.sectionsInHistory > MAX_CHANGED_SECTIONS) {
			this.sectionsInHistory -= sectionCount(this.history.removeFirst().delta());
		}
		this.audit.addLast(new AuditEntry(time, command.operator(), command.number(), command.digest(), sections));
		if (this.audit.size() > MAX_AUDIT_ENTRIES) {
			this.audit.removeFirst();
		}
	}

	private ManifestResult result(ResultCode code) {
		return new ManifestResult(code, this.active.number(), this.active.digest());
	}

	private static int sectionCount(ManifestDelta delta) {
		return delta.changed().size() + delta.removed().size();
	}

}
