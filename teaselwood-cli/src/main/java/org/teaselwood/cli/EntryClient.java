package org.teaselwood.cli;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.teaselwood.entry.http.ConfigurationJson;
import org.teaselwood.entry.http.JobJson;
import org.teaselwood.entry.http.JsonFields;
import org.teaselwood.model.Answer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.protocol.message.ConfigurationChange;

/**
 * Blocking HTTP client of the entries. If an entry cannot be reached, or closes the connection before it has responded,
 * the client sends the request to the next entry. This is safe because every request of the HTTP interface is
 * idempotent; a submission is deduplicated by its request key. Not thread-safe.
 */
public final class EntryClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 3_000;
    private static final long REQUEST_TIMEOUT_MILLISECONDS = 90_000;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int HEXADECIMAL_RADIX = 16;

    private final Vertx vertx;
    private final boolean ownsVertx;
    private final WebClient client;
    private final List<String> servers;
    private final Optional<String> token;
    private int currentServer;

    /** Creates a client with its own Vert.x instance, which {@link #close()} closes. */
    public EntryClient(ClientOptions options) {
        this(Vertx.vertx(), true, options.servers(), options.token(), options.authorityFile());
    }

    /** Creates a client that uses a shared Vert.x instance, which stays open when the client is closed. */
    public EntryClient(Vertx vertx, List<String> servers, Optional<String> token) {
        this(vertx, false, servers, token, Optional.empty());
    }

    private EntryClient(
            Vertx vertx, boolean ownsVertx, List<String> servers, Optional<String> token, Optional<String> authority) {
        WebClientOptions options = new WebClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
                .setFollowRedirects(false)
                .setUserAgent("teaselwood");
        authority.ifPresent(file -> options.setTrustOptions(new PemTrustOptions().addCertPath(file)));
        this.vertx = vertx;
        this.ownsVertx = ownsVertx;
        this.client = WebClient.create(vertx, options);
        this.servers = List.copyOf(servers);
        this.token = token;
    }

    /** Submits a job and returns its state. */
    public JsonObject submit(JobSubmission submission) {
        return requestJson(HttpMethod.POST, "/v1/jobs", JobJson.of(submission));
    }

    /** Returns the current state of a job. */
    public JsonObject job(String job) {
        return requestJson(HttpMethod.GET, jobPath(job), null);
    }

    /** Waits for the final state of a job; returns the current state if the timeout elapses first. */
    public JsonObject waitFor(String job, long timeoutMilliseconds) {
        return requestJson(HttpMethod.GET, jobPath(job) + "/wait?timeoutMilliseconds=" + timeoutMilliseconds, null);
    }

    /** Waits until the version of a job exceeds the given one or the timeout elapses; returns the current state. */
    public JsonObject waitForChange(String job, long version, long timeoutMilliseconds) {
        String query = "?until=change&version=" + version + "&timeoutMilliseconds=" + timeoutMilliseconds;
        return requestJson(HttpMethod.GET, jobPath(job) + "/wait" + query, null);
    }

    /** Cancels a job and returns its state. */
    public JsonObject cancel(String job) {
        return requestJson(HttpMethod.POST, jobPath(job) + "/cancel", null);
    }

    /** Returns why a job is waiting or where it is running. */
    public JsonObject explain(String job) {
        return requestJson(HttpMethod.GET, jobPath(job) + "/explain", null);
    }

    /** Returns the state of the region. */
    public JsonObject region() {
        return requestJson(HttpMethod.GET, "/v1/region", null);
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return ConfigurationJson.configurationOf(JsonFields.of(requestJson(HttpMethod.GET, "/v1/configuration", null)));
    }

    /** Publishes a change, or only validates it in a dry run, and returns the resulting configuration. */
    public Configuration change(ConfigurationChange change, boolean dryRun) {
        JsonObject reply =
                requestJson(HttpMethod.POST, "/v1/configuration?dryRun=" + dryRun, ConfigurationJson.of(change));
        return ConfigurationJson.configurationOf(JsonFields.of(reply));
    }

    /**
     * Returns the complete answer of a job.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind ANSWER_DAMAGED if the length or checksum does not match
     */
    public Answer answer(String job) {
        HttpResponse<Buffer> response = send(HttpMethod.GET, jobPath(job) + "/answer", null);
        Buffer body = response.body() == null ? Buffer.buffer() : response.body();
        return Answer.verified(
                body.getBytes(),
                Integer.parseInt(response.getHeader("Teaselwood-Answer-Length")),
                Integer.parseUnsignedInt(response.getHeader("Teaselwood-Answer-Crc32c"), HEXADECIMAL_RADIX));
    }

    @Override
    public void close() {
        client.close();
        if (ownsVertx) {
            vertx.close();
        }
    }

    private JsonObject requestJson(HttpMethod method, String path, JsonObject body) {
        return send(method, path, body).bodyAsJsonObject();
    }

    private HttpResponse<Buffer> send(HttpMethod method, String path, JsonObject body) {
        CommandException lastFailure = null;
        for (int attempts = 0; attempts < servers.size(); attempts++) {
            try {
                return sendTo(servers.get(currentServer), method, path, body);
            } catch (CommandException exception) {
                if (exception.code() != ExitCode.UNAVAILABLE) {
                    throw exception;
                }
                lastFailure = exception;
                currentServer = (currentServer + 1) % servers.size();
            }
        }
        throw lastFailure;
    }

    private HttpResponse<Buffer> sendTo(String server, HttpMethod method, String path, JsonObject body) {
        HttpRequest<Buffer> request = requestOf(server, method, path);
        try {
            HttpResponse<Buffer> response = (body == null ? request.send() : request.sendJsonObject(body))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(REQUEST_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
            if (response.statusCode() >= FIRST_ERROR_STATUS) {
                throw exceptionOf(response);
            }
            return response;
        } catch (ExecutionException | TimeoutException exception) {
            Throwable cause = exception.getCause() == null ? exception : exception.getCause();
            throw new CommandException(ExitCode.UNAVAILABLE, server + " cannot be reached: " + cause.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.INTERNAL, "interrupted");
        }
    }

    private HttpRequest<Buffer> requestOf(String server, HttpMethod method, String path) {
        String base = server.endsWith("/") ? server.substring(0, server.length() - 1) : server;
        try {
            HttpRequest<Buffer> request = client.requestAbs(method, base + path).timeout(REQUEST_TIMEOUT_MILLISECONDS);
            token.ifPresent(request::bearerTokenAuthentication);
            return request;
        } catch (RuntimeException exception) {
            throw new CommandException(ExitCode.USAGE, "the server address " + server + " is not valid");
        }
    }

    private static CommandException exceptionOf(HttpResponse<Buffer> response) {
        try {
            JsonObject problem = response.bodyAsJsonObject();
            String code = problem.getString("errorKind");
            ErrorKind kind = Arrays.stream(ErrorKind.values())
                    .filter(candidate -> candidate.code().equals(code))
                    .findFirst()
                    .orElse(ErrorKind.INTERNAL);
            String message =
                    code + ": " + problem.getString("detail") + " (outcome: " + problem.getString("outcome") + ")";
            return new CommandException(ExitCode.of(kind), message, problem);
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            return new CommandException(
                    ExitCode.UNAVAILABLE,
                    "unexpected response, not from an entry: HTTP status " + response.statusCode());
        }
    }

    private static String jobPath(String job) {
        if (!job.matches("[A-Za-z0-9._~-]+")) {
            throw new CommandException(ExitCode.USAGE, job + " is not a job identifier");
        }
        return "/v1/jobs/" + job;
    }
}
