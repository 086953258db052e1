package org.acaciacourse.bench.control;

import java.util.Locale;
import java.util.Map;

import org.acaciacourse.core.manifest.ManifestDocument;
import org.acaciacourse.core.state.ClaimKey;
import org.acaciacourse.core.state.Command;
import org.acaciacourse.core.state.ControlState;
import org.acaciacourse.daemon.codec.CommandCodec;
import org.acaciacourse.daemon.codec.ManifestCodec;
import org.acaciacourse.daemon.codec.StateCodec;

/**
 * Bytes of the replicated state and of its commands, per customer, change and claim. It
 * needs no running control VM.
 * <p>
 * Thread safe: it has no state.
 */
final class StateSlopes {

	private static final int FEW = 100;

	private static final int MANY = 1700;

	private static final int CHANGES = 100;

	private static final int CLAIMS = 10_000;

	private StateSlopes() {
	}

	static String run() {
		ControlState few = new ControlState();
		ControlState many = new ControlState();
		put(few, 1, FEW);
		put(many, 1, MANY);
		double perCustomer = (double) (size(many) - size(few)) / (MANY - FEW);
		int before = size(many);
		int command = 0;
		for (int number = 2; number < CHANGES + 2; number++) {
			command = put(many, number, MANY);
		}
		double perChange = (double) (size(many) - before) / CHANGES;
		before = size(many);
		for (int i = 0; i < CLAIMS; i++) {
			ClaimKey key = new ClaimKey("kumasi", String.format(Locale.ROOT, "verdict-%08d", i));
			many.apply(CHANGES + 2 + i,
					new Command.Claim(1, key, "0123456789abcdef0123456789abcdef", "entry-1/1#" + i));
		}
		double perClaim = (double) (size(many) - before) / CLAIMS;
		long began = System.nanoTime();
		int whole = size(many);
		double millis = (System.nanoTime() - began) / 1e6;
		return String.format(Locale.ROOT,
				"snapshot: %.0f bytes a customer, %.0f a change kept, %.0f a claim; one change in the log %d bytes; "
						+ "%d customers and %d claims: %d bytes in %.0f ms",
				perCustomer, perChange, perClaim, command, MANY, CLAIMS, whole, millis);
	}

	private static int put(ControlState state, long number, int customers) {
		Map<String, Map<String, String>> sections = ChangeLoad.manifest(number, customers);
		ManifestDocument document = ManifestCodec.decode(sections);
		Command command = new Command.PutManifest(1, number, document.digest(), state.manifestDigest(),
				state.manifestDocument().deltaTo(document), "bench");
		state.apply(number, command);
		return CommandCodec.encode(command).length;
	}

	private static int size(ControlState state) {
		return StateCodec.encode(state.snapshot()).length;
	}

}
