package org.acaciacourse.daemon.control;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.acaciacourse.core.consensus.ReplicaTiming;
import org.acaciacourse.core.settings.SettingKey;
import org.acaciacourse.core.settings.Settings;
import org.acaciacourse.daemon.duty.DutyOptions;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.acaciacourse.daemon.inner.SharedKey;

/**
 * The options of a control daemon.
 * <p>
 * Immutable and thread safe.
 *
 * @param vm the name of the VM
 * @param address the address of its internal server, for the other VMs
 * @param admin the address of the admin server, for health and metrics
 * @param initial the addresses of the initial members, which may include this VM
 * @param data the data folder
 * @param innerKey the key of the internal connections
 * @param operatorKey the key of the operators
 * @param platformList the file or HTTP address of the platform's list, if any
 * @param orders whether this VM may send orders to engines
 * @param timing the intervals and size limits of the replica
 * @param snapshotEntries the number of log entries between two snapshots
 * @param mayBootstrap whether this is the first start of the whole system, so that a
 * replica with an empty data folder may bootstrap the log
 * @param fleet reads the platform's list of endpoints, present if entry VMs serve routes
 * @param seeds supplies the addresses of the control VMs that the settings list at
 * present
 * @param duties the duties that one control VM at a time carries out, if there are any
 */
public record ControlOptions(String vm, String address, String admin, List<String> initial, Path data,
		SharedKey innerKey, SharedKey operatorKey, Optional<String> platformList, boolean orders, ReplicaTiming timing,
		long snapshotEntries, boolean mayBootstrap, Optional<FleetSource> fleet, Supplier<List<String>> seeds,
		Optional<DutyOptions> duties) {

	/** The default number of log entries between two snapshots. */
	public static final long SNAPSHOT_ENTRIES = 20_000;

	public ControlOptions {
		initial = List.copyOf(initial);
	}

	/**
	 * Create options for a system that serves no routes and whose initial members do not
	 * change.
	 * @param vm the name of the VM
	 * @param address the address of its internal server, for the other VMs
	 * @param admin the address of the admin server, for health and metrics
	 * @param initial the addresses of the initial members, which may include this VM
	 * @param data the data folder
	 * @param innerKey the key of the internal connections
	 * @param operatorKey the key of the operators
	 * @param platformList the file or HTTP address of the platform's list, if any
	 * @param orders whether this VM may send orders to engines
	 * @param timing the intervals and size limits of the replica
	 * @param snapshotEntries the number of log entries between two snapshots
	 */
	public ControlOptions(String vm, String address, String admin, List<String> initial, Path data, SharedKey innerKey,
			SharedKey operatorKey, Optional<String> platformList, boolean orders, ReplicaTiming timing,
			long snapshotEntries) {
		this(vm, address, admin, initial, data, innerKey, operatorKey, platformList, orders, timing, snapshotEntries,
				true, Optional.empty(), () -> initial, Optional.empty());
	}

	/**
	 * Read the options from settings.
	 * @param settings checked settings with the sections vm, inner and control
	 * @return the options
	 */
	public static ControlOptions of(Settings settings) {
		List<String> initial = settings.addresses(SettingKey.CONTROL_INITIAL)
			.stream()
			.map(InternalConnection::format)
			.toList();
		return new ControlOptions(settings.text(SettingKey.VM_NAME),
				InternalConnection.format(settings.address(SettingKey.CONTROL_LISTEN)),
				InternalConnection.format(settings.address(SettingKey.CONTROL_ADMIN)), initial,
				Path.of(settings.text(SettingKey.CONTROL_DATA)), new SharedKey(settings.text(SettingKey.INNER_KEY)),
				new SharedKey(settings.text(SettingKey.CONTROL_OPERATOR_KEY)),
				settings.optionalText(SettingKey.CONTROL_PLATFORM_LIST), settings.flag(SettingKey.CONTROL_ORDERS),
				ReplicaTiming.defaults(), SNAPSHOT_ENTRIES);
	}

}
