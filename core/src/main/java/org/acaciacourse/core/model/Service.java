package org.acaciacourse.core.model;

import java.util.List;
import java.util.Objects;

/**
 * A plain service that is routed under {@code /services/NAME/}.
 * <p>
 * Immutable and thread safe.
 *
 * @param name the unique name
 * @param endpointSet the name of the endpoint set that serves it
 * @param requestClass the name of the class of its requests
 * @param notRepeated the calls that must run at most once
 */
public record Service(String name, String endpointSet, String requestClass, List<Call> notRepeated) {

	public Service {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(endpointSet, "endpointSet");
		Objects.requireNonNull(requestClass, "requestClass");
		notRepeated = List.copyOf(notRepeated);
	}

	/**
	 * Return whether a call must not be repeated.
	 * @param method the HTTP method
	 * @param path the path relative to the service, with a leading slash and without
	 * query
	 * @return whether the call must run at most once
	 */
	public boolean isNotRepeated(String method, String path) {
		return this.notRepeated.stream().anyMatch((call) -> call.matches(method, path));
	}

	/**
	 * A method and a path prefix.
	 *
	 * @param method the HTTP method in upper case
	 * @param pathPrefix the prefix of the path, with a leading slash
	 */
	public record Call(String method, String pathPrefix) {

		public Call {
			if (!pathPrefix.startsWith("/")) {
				throw new IllegalArgumentException("path prefix must start with a slash: " + pathPrefix);
			}
		}

		boolean matches(String otherMethod, String path) {
			if (!this.method.equals(otherMethod) || !path.startsWith(this.pathPrefix)) {
				return false;
			}
			int end = this.pathPrefix.length();
			return path.length() == end || this.pathPrefix.endsWith("/") || path.charAt(end) == '/';
		}

	}

}
