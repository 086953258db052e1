package org.acaciacourse.core.balance;

import java.util.Arrays;
import java.util.Optional;

/**
 * Where an {@link OptionalMechanism} is in use.
 * <p>
 * Immutable and thread safe.
 */
public enum OptionalSwitch {

	/** In all pools. */
	ON("on") {

		@Override
		boolean isOn(boolean paceStated) {
			return true;
		}

	},

	/** In no pool. */
	OFF("off") {

		@Override
		boolean isOn(boolean paceStated) {
			return false;
		}

	},

	/** In pools whose endpoints state how long work takes on their machines. */
	WITH_STATED_PACE("with-stated-pace") {

		@Override
		boolean isOn(boolean paceStated) {
			return paceStated;
		}

	};

	private final String label;

	OptionalSwitch(String label) {
		this.label = label;
	}

	/**
	 * Find a switch by its name in a settings file.
	 * @param label the name
	 * @return the switch, if there is one
	 */
	static Optional<OptionalSwitch> ofLabel(String label) {
		return Arrays.stream(values()).filter((one) -> one.label.equals(label)).findFirst();
	}

	abstract boolean isOn(boolean paceStated);

	@Override
	public String toString() {
		return this.label;
	}

}
