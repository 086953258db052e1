package org.acaciacourse.daemon.inner;

import java.time.Duration;
import java.util.Optional;

import org.acaciacourse.daemon.memory.SizeGate;
import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TProtocol;

/**
 * Lets large calls pass a gate before their arguments are read, which take many times the
 * bytes that were received. A large call that is not admitted in time is not served, and
 * its connection is closed.
 * <p>
 * Thread safe.
 */
final class SizedProcessor implements TProcessor {

	/** Calls up to this size, in bytes, don't pass the gate. */
	private static final int SMALL_BYTES = 64 * 1024;

	/** A caller that has waited so long makes its call again. */
	private static final Duration MAX_WAIT = Duration.ofSeconds(4);

	private final TProcessor processor;

	private final SizeGate gate;

	/**
	 * Create a processor.
	 * @param processor serves the calls
	 * @param gate admits the large ones
	 */
	SizedProcessor(TProcessor processor, SizeGate gate) {
		this.processor = processor;
		this.gate = gate;
	}

	// The transport has received the whole call when the name of its method is known.
	@Override
	public void process(TProtocol in, TProtocol out) throws TException {
		int bytes = in.getTransport().getBytesRemainingInBuffer();
		if (bytes <= SMALL_BYTES) {
			this.processor.process(in, out);
			return;
		}
		try (SizeGate.Admission admission = enter(bytes)) {
			this.processor.process(in, out);
		}
	}

	private SizeGate.Admission enter(int bytes) throws TException {
		try {
			Optional<SizeGate.Admission> admission = this.gate.enter(bytes, MAX_WAIT);
			return admission.orElseThrow(() -> new TException("no room for a call of " + bytes + " bytes"));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new TException("stopping", ex);
		}
	}

}
