package org.acaciacourse.daemon.link;

import java.util.List;
import java.util.function.Supplier;

import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.inner.SharedKey;

/**
 * The options of a link to the control VMs.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the name of the VM
 * @param dataCentre its data centre
 * @param controls the addresses of the control VMs, at least one
 * @param key the shared key of the internal connections
 * @param seeds supplies the control VMs that the settings name at present
 * @param loadAddress the address for load digests of other entry VMs, empty for none
 */
public record LinkOptions(String vm, String dataCentre, List<String> controls, SharedKey key,
		Supplier<List<String>> seeds, String loadAddress) {

	public LinkOptions {
		controls = List.copyOf(controls);
		if (controls.isEmpty()) {
			throw new IllegalArgumentException("at least one control VM address is required");
		}
	}

	/**
	 * Create options with a fixed list of control VMs.
	 * @param vm the name of the VM
	 * @param dataCentre its data centre
	 * @param controls the addresses of the control VMs, at least one
	 * @param key the shared key of the internal connections
	 */
	public LinkOptions(String vm, String dataCentre, List<String> controls, SharedKey key) {
		this(vm, dataCentre, controls, key, () -> controls, "");
	}

	/**
	 * Read the options from settings.
	 * @param settings validated settings with the sections vm, inner and entry
	 * @return the options
	 */
	public static LinkOptions of(Settings settings) {
		List<String> controls = settings.addresses(SettingKey.ENTRY_CONTROLS)
			.stream()
			.map(InternalConnection::format)
			.toList();
		return new LinkOptions(settings.text(SettingKey.VM_NAME), settings.text(SettingKey.VM_DATA_CENTRE), controls,
				new SharedKey(settings.text(SettingKey.INNER_KEY)));
	}

}
