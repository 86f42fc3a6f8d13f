package milletyoke.gateway.console;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.gateway.reload.ConfigWatcher;
import milletyoke.wire.SocketNetwork;
import org.glassfish.grizzly.http.Cookie;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The daemon's own web console, on a listener and threads of its own. Every answer is made of the
 * latest picture and the rows of past seconds; none waits for the loop, so it answers while the
 * loop is behind.
 */
public final class Console implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Console.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST_BODY = 4_096,
            MOST_FIND = 100,
            MOST_PAGE = 100_000,
            MOST_STREAMS = 256;

    /**
     * For a request to come in whole, and for a stream's reader to take what it was sent
     * (microseconds).
     */
    private static final long PATIENCE = 5_000_000;

    private static final String COOKIE = "milletyoke";

    private final EventLoop loop;
    private final PageModels views;
    private final AuditLog journal;
    private final Tokens tokens;
    private final Sessions sessions = new Sessions();
    private final RateLimiter rates;
    private final RateLimiter strangers = new RateLimiter(20, 60);
    private final ConnectionLimitFilter connections = new ConnectionLimitFilter(1_024, PATIENCE);
    private final Set<Stream> streams = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService pulse;
    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;

    /** One page kept live in one browser. */
    private final class Stream {
        final Response response;
        final String token;
        final String page;
        final PageModels.Ask ask;
        volatile long lastTaken = SocketNetwork.monotonicMicros();

        Stream(Response response, String token, String page, PageModels.Ask ask) {
            this.response = response;
            this.token = token;
            this.page = page;
            this.ask = ask;
        }

        void beat() {
            AccessScope sight = tokens.sight(token);
            if (sight == null || SocketNetwork.monotonicMicros() - lastTaken > PATIENCE) {
                end();
                return;
            }
            if (!response.getNIOOutputStream().canWrite()) {
                return; // what it has not taken is not followed by more; after the patience it is
                // closed
            }
            try {
                response.getNIOOutputStream()
                        .write(
                                ("data: "
                                                + JSON.writeValueAsString(
                                                        views.of(page, sight, ask))
                                                + "\n\n")
                                        .getBytes(StandardCharsets.UTF_8));
                response.getNIOOutputStream().flush();
                lastTaken = SocketNetwork.monotonicMicros();
            } catch (IOException | RuntimeException gone) {
                end();
            }
        }

        void end() {
            if (streams.remove(this)) {
                try {
                    response.resume();
                } catch (RuntimeException alreadyOver) {
                    // its connection is closed
                }
            }
        }
    }

    /**
     * Starts the console of one initiator.
     *
     * @throws IOException where its address cannot be had
     * @throws SetupError where its tokens cannot be used
     */
    public Console(
            InitiatorConfig.Console access,
            InitiatorConfig setup,
            EventLoop loop,
            Counters counts,
            ConfigWatcher following)
            throws IOException, ConfigException {
        this.loop = loop;
        tokens = new Tokens(access.tokenFile());
        rates = new RateLimiter(access.requestsPerSecond(), 4 * access.requestsPerSecond());
        journal = new AuditLog(setup.stateDirectory());
        views =
                new PageModels(
                        setup, loop, journal, counts, following, SocketNetwork.monotonicMicros());
        listener = new NetworkListener("console", access.listen().host(), access.listen().port());
        listener.setMaxHttpHeaderSize(8_192);
        listener.setMaxRequestHeaders(64);
        listener.setMaxFormPostSize(MOST_BODY);
        listener.setMaxBufferedPostSize(MOST_BODY);
        listener.getKeepAlive().setIdleTimeoutInSeconds(30);
        listener.setDefaultErrorPageGenerator(
                (request, status, reason, description, exception) ->
                        "{\"type\":\"about:blank\",\"title\":\""
                                + status
                                + "\",\"status\":"
                                + status
                                + "}");
        listener.registerAddOn((on, chain) -> chain.add(1, connections));
        listener.getTransport()
                .setWorkerThreadPoolConfig(
                        ThreadPoolConfig.defaultConfig()
                                .setPoolName("console")
                                .setCorePoolSize(4)
                                .setMaxPoolSize(4)
                                .setQueueLimit(4_096)
                                .setDaemon(true)
                                .setPriority(Thread.MAX_PRIORITY));
        listener.getTransport().setSelectorRunnersCount(1);
        server.addListener(listener);
        server.getServerConfiguration().setSendFileEnabled(false);
        server.getServerConfiguration()
                .addHttpHandler(
                        new HttpHandler("console") {
                            @Override
                            public void service(Request request, Response response) {
                                serve(request, response);
                            }
                        },
                        "/");
        try {
            server.start();
        } catch (IOException taken) {
            server.shutdownNow();
            throw new IOException(
                    "cannot listen at " + access.listen() + ": " + taken.getMessage(), taken);
        }
        pulse =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "console-pulse");
                            thread.setDaemon(true);
                            return thread;
                        });
        pulse.scheduleWithFixedDelay(this::beat, 1, 1, TimeUnit.SECONDS);
        LOG.info("console at http://{}:{}/", access.listen().host(), port());
    }

    public int port() {
        return listener.getPort();
    }

    private void beat() {
        try {
            streams.forEach(Stream::beat);
            connections.look(SocketNetwork.monotonicMicros());
        } catch (RuntimeException unexpected) {
            LOG.error("a stream failed", unexpected);
        }
    }

    @Override
    public void close() {
        pulse.shutdownNow();
        List.copyOf(streams).forEach(Stream::end);
        server.shutdownNow();
    }

    // ---- One request ----

    private void serve(Request request, Response response) {
        connections.asked(request.getContext().getConnection());
        boolean machine = request.getRequestURI().startsWith("/api/");
        try {
            secure(response);
            route(request, response);
        } catch (HttpProblemException problem) {
            tell(response, problem, machine);
        } catch (Exception unexpected) {
            LOG.error("a request of the console failed", unexpected);
            tell(
                    response,
                    new HttpProblemException(
                            500, "Failed", "This could not be answered; the log says why."),
                    machine);
        } finally {
            if (!response.isSuspended()) {
                connections.answered(request.getContext().getConnection());
            }
        }
    }

    private static void secure(Response r) {
        r.setHeader(
                "Content-Security-Policy",
                "default-src 'none'; style-src 'self'; script-src 'self'; "
                        + "connect-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'");
        r.setHeader("X-Content-Type-Options", "nosniff");
        r.setHeader("X-Frame-Options", "DENY");
        r.setHeader("Referrer-Policy", "no-referrer");
        r.setHeader("Cache-Control", "no-store");
    }

    private void route(Request request, Response response)
            throws HttpProblemException, IOException {
        String path = request.getRequestURI();
        if (path.startsWith("/static/")) {
            only(request, Method.GET);
            file(response, path.substring("/static/".length()));
            return;
        }
        String caller = request.getRemoteAddr();
        if (path.equals("/login")) {
            limit(strangers, caller);
            login(request, response);
            return;
        }
        Sessions.Session session = sessions.of(cookie(request), SocketNetwork.monotonicMicros());
        String bearer = bearer(request);
        String token = bearer != null ? bearer : session == null ? null : session.token();
        AccessScope sight = token == null ? null : tokens.sight(token);
        if (sight == null) {
            limit(strangers, caller);
            if (path.startsWith("/api/")) {
                response.setHeader("WWW-Authenticate", "Bearer");
                throw HttpProblemException.who();
            }
            response.setStatus(303);
            response.setHeader("Location", "/login");
            return;
        }
        limit(rates, sight.name());
        if (path.equals("/logout") || path.equals("/act")) {
            only(request, Method.POST);
            form(request, response, path, sight, session, bearer != null);
        } else if (path.startsWith("/api/v1/")) {
            api(
                    request,
                    response,
                    path.substring("/api/v1/".length()),
                    sight,
                    token,
                    bearer != null);
        } else {
            only(request, Method.GET);
            String page = path.equals("/") ? "overview" : path.substring(1);
            known(page);
            PageModels.Ask ask = ask(request, Set.of("find", "page"), "page");
            html(
                    response,
                    200,
                    HtmlRenderer.page(
                            page,
                            views.of(page, sight, ask),
                            sight,
                            session == null ? "" : session.csrf(),
                            ask));
        }
    }

    private static void known(String page) throws HttpProblemException {
        if (!PageModels.PAGES.containsKey(page)) {
            throw HttpProblemException.notFound();
        }
    }

    private static void only(Request request, Method method) throws HttpProblemException {
        if (!request.getMethod().equals(method)) {
            throw new HttpProblemException(
                    405, "Method not allowed", method + " is what can be done here.");
        }
    }

    private static void limit(RateLimiter rates, String caller) throws HttpProblemException {
        if (!rates.take(caller, SocketNetwork.monotonicMicros())) {
            throw new HttpProblemException(429, "Too many requests", "Come back in a second.");
        }
    }

    // ---- Who asks ----

    private static String bearer(Request request) {
        String header = request.getHeader("Authorization");
        return header != null && header.startsWith("Bearer ") && header.length() < 300
                ? header.substring(7).trim()
                : null;
    }

    private static String cookie(Request request) {
        Cookie[] all = request.getCookies();
        for (int i = 0; all != null && i < all.length; i++) {
            if (all[i].getName().equals(COOKIE)) {
                return all[i].getValue();
            }
        }
        return null;
    }

    private void login(Request request, Response response)
            throws HttpProblemException, IOException {
        if (request.getMethod().equals(Method.GET)) {
            html(response, 200, HtmlRenderer.login(""));
            return;
        }
        only(request, Method.POST);
        String token = body(request, Set.of("token")).getOrDefault("token", "");
        if (tokens.sight(token) == null) {
            html(response, 401, HtmlRenderer.login("That token is not valid."));
            return;
        }
        Sessions.Session session = sessions.begin(token, SocketNetwork.monotonicMicros());
        response.setHeader(
                "Set-Cookie", COOKIE + "=" + session.id() + "; Path=/; HttpOnly; SameSite=Strict");
        response.setStatus(303);
        response.setHeader("Location", "/");
    }

    // ---- Acting ----

    private void form(
            Request request,
            Response response,
            String path,
            AccessScope sight,
            Sessions.Session session,
            boolean byBearer)
            throws HttpProblemException, IOException {
        Map<String, String> form = body(request, Set.of("csrf", "what", "whom"));
        boolean own =
                byBearer
                        || session != null
                                && MessageDigest.isEqual(
                                        session.csrf().getBytes(StandardCharsets.UTF_8),
                                        form.getOrDefault("csrf", "")
                                                .getBytes(StandardCharsets.UTF_8));
        if (!own) {
            throw new HttpProblemException(
                    403,
                    "Forbidden",
                    "This form was not made for this session; open the page again.");
        }
        if (path.equals("/logout")) {
            if (session != null) {
                sessions.end(session.id());
            }
            response.setStatus(303);
            response.setHeader("Location", "/login");
            return;
        }
        String what = form.getOrDefault("what", "");
        act(sight, what, form.getOrDefault("whom", ""));
        response.setStatus(303);
        response.setHeader("Location", what.endsWith("-target") ? "/targets" : "/");
    }

    /** Does what an operator asks for, once it is written down. */
    private void act(AccessScope sight, String what, String whom)
            throws HttpProblemException, IOException {
        if (!sight.acts()) {
            throw HttpProblemException.mayNot();
        }
        boolean on = what.startsWith("drain");
        switch (what) {
            case "drain", "undrain" -> {
                journal.write(
                        sight.name(),
                        what,
                        views.of("setup", sight, PageModels.Ask.FIRST)
                                .figures()
                                .get("initiator")
                                .toString());
                loop.post(new LoopMessage.DrainInitiator(on, sight.name()));
            }
            case "drain-target", "undrain-target" -> {
                if (!loop.knows(whom)) {
                    throw HttpProblemException.notFound();
                }
                journal.write(sight.name(), what, whom);
                loop.post(new LoopMessage.DrainTarget(whom, on, sight.name()));
            }
            default ->
                    throw HttpProblemException.badRequest(
                            "drain, undrain, drain-target or undrain-target can be done.");
        }
    }

    // ---- The API ----

    private void api(
            Request request,
            Response response,
            String path,
            AccessScope sight,
            String token,
            boolean byBearer)
            throws HttpProblemException, IOException {
        if (path.isEmpty()) {
            only(request, Method.GET);
            json(response, 200, Map.of("pages", new ArrayList<>(PageModels.PAGES.keySet())));
        } else if (path.equals("stream")) {
            only(request, Method.GET);
            stream(request, response, token);
        } else if (path.equals("drain")
                || path.equals("undrain")
                || path.matches("targets/[^/]+/(drain|undrain)")) {
            only(request, Method.POST);
            if (!byBearer) { // a browser's cookie goes with any form; a header does not
                throw new HttpProblemException(
                        403, "Forbidden", "Acting by this path needs the token in a header.");
            }
            String[] parts = path.split("/");
            act(
                    sight,
                    parts.length == 1 ? path : parts[2] + "-target",
                    parts.length == 1 ? "" : decoded(parts[1]));
            json(response, 202, Map.of("done", path));
        } else {
            only(request, Method.GET);
            known(path);
            json(
                    response,
                    200,
                    views.of(path, sight, ask(request, Set.of("find", "page"), "page")));
        }
    }

    private void stream(Request request, Response response, String token)
            throws HttpProblemException {
        PageModels.Ask ask = ask(request, Set.of("page", "find", "at"), "at");
        String page = request.getParameter("page");
        known(page == null ? "" : page);
        if (streams.size() >= MOST_STREAMS) {
            throw new HttpProblemException(
                    503,
                    "Too many streams",
                    "There are " + MOST_STREAMS + " at the most; poll instead.");
        }
        response.setContentType("text/event-stream");
        response.setCharacterEncoding("UTF-8");
        response.suspend();
        Stream stream = new Stream(response, token, page, ask);
        request.getContext().getConnection().addCloseListener((closed, type) -> stream.end());
        streams.add(stream);
        pulse.execute(stream::beat);
    }

    private static PageModels.Ask ask(Request request, Set<String> may, String number)
            throws HttpProblemException {
        for (String name : request.getParameterNames()) {
            if (!may.contains(name)) {
                throw HttpProblemException.badRequest(
                        "A parameter that is not known here; known are "
                                + may.stream().sorted(Comparator.naturalOrder()).toList()
                                + ".");
            }
        }
        String find = request.getParameter("find");
        String at = request.getParameter(number);
        if (find != null && find.length() > MOST_FIND) {
            throw HttpProblemException.badRequest(
                    "find takes " + MOST_FIND + " characters at the most.");
        }
        try {
            int page = at == null || at.isEmpty() ? 0 : Integer.parseInt(at);
            if (page >= 0 && page <= MOST_PAGE) {
                return new PageModels.Ask(find == null ? "" : find, page);
            }
        } catch (NumberFormatException notANumber) {
            // told below
        }
        throw HttpProblemException.badRequest(
                number + " takes a whole number from 0 to " + MOST_PAGE + ".");
    }

    private static Map<String, String> body(Request request, Set<String> may)
            throws HttpProblemException, IOException {
        if (request.getContentLengthLong() > MOST_BODY) {
            throw new HttpProblemException(413, "Too large", MOST_BODY + " bytes are the most.");
        }
        byte[] bytes = request.getInputStream().readNBytes(MOST_BODY + 1);
        if (bytes.length > MOST_BODY) {
            throw new HttpProblemException(413, "Too large", MOST_BODY + " bytes are the most.");
        }
        Map<String, String> form = new HashMap<>();
        for (String pair : new String(bytes, StandardCharsets.UTF_8).split("&")) {
            int equals = pair.indexOf('=');
            String name = equals < 0 ? pair : decoded(pair.substring(0, equals));
            if (may.contains(name)) {
                form.put(name, equals < 0 ? "" : decoded(pair.substring(equals + 1)));
            } else if (!pair.isEmpty()) {
                throw HttpProblemException.badRequest("A field that is not known here.");
            }
        }
        return form;
    }

    private static String decoded(String raw) throws HttpProblemException {
        try {
            return URLDecoder.decode(raw, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException bad) {
            throw HttpProblemException.badRequest("Text that is not URL-encoded.");
        }
    }

    // ---- Answers ----

    private static void tell(Response response, HttpProblemException problem, boolean machine) {
        try {
            if (response.isCommitted()) {
                return;
            }
            if (machine) {
                json(response, problem.status, HtmlRenderer.problemBody(problem));
            } else {
                html(response, problem.status, HtmlRenderer.problem(problem));
            }
        } catch (IOException gone) {
            LOG.debug("nobody is there for the answer: {}", gone.getMessage());
        }
    }

    private static void html(Response response, int status, String text) throws IOException {
        send(response, status, "text/html; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    private static void json(Response response, int status, Object body) throws IOException {
        try {
            String type = status >= 400 ? "application/problem+json" : "application/json";
            send(response, status, type, JSON.writeValueAsBytes(body));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static void send(Response response, int status, String type, byte[] body)
            throws IOException {
        response.setStatus(status);
        response.setContentType(type);
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }

    private static void file(Response response, String name)
            throws HttpProblemException, IOException {
        String type =
                switch (name) {
                    case "console.css" -> "text/css; charset=utf-8";
                    case "console.js" -> "text/javascript; charset=utf-8";
                    default -> throw HttpProblemException.notFound();
                };
        try (InputStream in = Console.class.getResourceAsStream("/console/" + name)) {
            send(response, 200, type, in.readAllBytes());
        }
    }
}
