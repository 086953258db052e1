package org.acaciacourse.daemon.control;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.acaciacourse.core.consensus.ReplicaTiming;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.inner.InnerConnection;
import org.acaciacourse.daemon.inner.SharedKey;

/**
 * What a control daemon is started with.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the name of the VM
 * @param address where the other VMs reach its inner server
 * @param admin the address of health and metrics
 * @param initial the addresses of the founders, of this one too if it is one
 * @param data the data folder
 * @param innerKey the key of the inner connections
 * @param operatorKey the key of the operators
 * @param platformList file or address of the platform's list, if there is one
 * @param orders whether this VM may write orders to engines
 * @param timing the replica's times and bounds
 * @param snapshotEntries after how many entries a snapshot is made
 * @param mayBootstrap whether this is the first start of the whole system, so that a
 * replica with an empty data folder may found the log
 * @param fleet reads the platform's list of endpoints, if entries serve routes
 * @param seeds yields the control VMs that the settings name at present
 */
public record ControlOptions(String vm, String address, String admin, List<String> initial, Path data,
		SharedKey innerKey, SharedKey operatorKey, Optional<String> platformList, boolean orders, ReplicaTiming timing,
		long snapshotEntries, boolean mayBootstrap, Optional<FleetSource> fleet, Supplier<List<String>> seeds) {

	/** After how many entries a snapshot is made unless told otherwise. */
	public static final long SNAPSHOT_ENTRIES = 20_000;

	public ControlOptions {
		initial = List.copyOf(initial);
	}

	/**
	 * Make options for a system that serves no routes and whose founders do not change.
	 * @param vm the name of the VM
	 * @param address where the other VMs reach its inner server
	 * @param admin the address of health and metrics
	 * @param initial the addresses of the founders, of this one too if it is one
	 * @param data the data folder
	 * @param innerKey the key of the inner connections
	 * @param operatorKey the key of the operators
	 * @param platformList file or address of the platform's list, if there is one
	 * @param orders whether this VM may write orders to engines
	 * @param timing the replica's times and bounds
	 * @param snapshotEntries after how many entries a snapshot is made
	 */
	public ControlOptions(String vm, String address, String admin, List<String> initial, Path data, SharedKey innerKey,
			SharedKey operatorKey, Optional<String> platformList, boolean orders, ReplicaTiming timing,
			long snapshotEntries) {
		this(vm, address, admin, initial, data, innerKey, operatorKey, platformList, orders, timing, snapshotEntries,
				true, Optional.empty(), () -> initial);
	}

	/**
	 * Read the options from settings.
	 * @param settings checked settings with the sections vm, inner and control
	 * @return the options
	 */
	public static ControlOptions of(Settings settings) {
		List<String> initial = settings.addresses(SettingKey.CONTROL_INITIAL)
			.stream()
			.map(InnerConnection::format)
			.toList();
		return new ControlOptions(settings.text(SettingKey.VM_NAME),
				InnerConnection.format(settings.address(SettingKey.CONTROL_LISTEN)),
				InnerConnection.format(settings.address(SettingKey.CONTROL_ADMIN)), initial,
				Path.of(settings.text(SettingKey.CONTROL_DATA)), new SharedKey(settings.text(SettingKey.INNER_KEY)),
				new SharedKey(settings.text(SettingKey.CONTROL_OPERATOR_KEY)),
				settings.optionalText(SettingKey.CONTROL_PLATFORM_LIST), settings.flag(SettingKey.CONTROL_ORDERS),
				ReplicaTiming.defaults(), SNAPSHOT_ENTRIES);
	}

}
