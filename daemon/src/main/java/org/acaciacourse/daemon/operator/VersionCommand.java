package org.acaciacourse.daemon.operator;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.daemon.cli.Command;

/**
 * Prints the version.
 * <p>
 * Not thread safe.
 */
@Parameters(commandDescription = "Print the version")
public final class VersionCommand implements Command {

	private static final String PROPERTIES = "/META-INF/maven/org.acaciacourse/acaciacourse-daemon/pom.properties";

	@Parameter(names = "--json", description = "Print one JSON object")
	private boolean json;

	@Override
	public String name() {
		return "version";
	}

	@Override
	public ResultCode run() throws IOException {
		Output output = new Output(this.json, System.out);
		String version = version();
		return output.print(ResultCode.OK, output.object(ResultCode.OK).put("version", version),
				"acaciacourse " + version + "\n");
	}

	private static String version() throws IOException {
		try (InputStream in = VersionCommand.class.getResourceAsStream(PROPERTIES)) {
			Properties properties = new Properties();
			if (in != null) {
				properties.load(in);
			}
			return properties.getProperty("version", "development");
		}
	}

}
