package org.acaciacourse.daemon.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.settings.SettingType;

/**
 * Options shared by the commands that call the control VMs.
 * <p>
 * Not thread safe: filled by JCommander, then only read.
 */
final class OperatorOptions {

	@Parameter(names = "--control", description = "Addresses of the control VMs, separated by commas")
	private List<String> controls = new ArrayList<>(List.of("127.0.0.1:8090"));

	@Parameter(names = "--key", description = "Operator key; visible to other users of this host, see --key-file")
	private String key;

	@Parameter(names = "--key-file", description = "File with the operator key")
	private Path keyFile;

	/**
	 * Return the addresses of the control VMs.
	 * @return the addresses, or the code if one of them is invalid
	 */
	Either<ResultCode, List<String>> controls() {
		boolean valid = this.controls.stream().allMatch((address) -> SettingType.ADDRESS.problemOf(address).isEmpty());
		return (valid) ? Either.right(this.controls) : Either.left(ResultCode.INVALID_ARGUMENTS);
	}

	/**
	 * Return the key.
	 * @return the key, or the code that says why there is none
	 */
	Either<ResultCode, String> key() {
		if (this.key != null) {
			return Either.right(this.key);
		}
		if (this.keyFile == null) {
			return Either.left(ResultCode.OPERATOR_UNKNOWN);
		}
		try {
			return Either.right(Files.readString(this.keyFile).strip());
		}
		catch (IOException ex) {
			return Either.left(ResultCode.FILE_UNREADABLE);
		}
	}

}
