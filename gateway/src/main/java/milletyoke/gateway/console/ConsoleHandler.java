package milletyoke.gateway.console;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes the console's HTTP requests. Called by the console's worker threads. */
final class ConsoleHandler extends HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(ConsoleHandler.class);
    private static final String STATIC_PREFIX = "/static/";
    private static final String API_PREFIX = "/api/";
    private static final String API_V1_PREFIX = "/api/v1/";
    private static final String LOGIN = "/login";
    private static final Set<String> QUERY_PARAMETERS = Set.of("find", "page");
    private static final Set<String> STREAM_PARAMETERS = Set.of("page", "find", "at");
    private static final Set<String> ACTION_FIELDS = Set.of("csrf", "what", "whom");

    private final PageModels pages;
    private final Authenticator authenticator;
    private final OperatorActions actions;
    private final EventStreams streams;
    private final ConnectionLimitFilter connections;
    private final Executor streamUpdater;

    ConsoleHandler(
            PageModels pages,
            Authenticator authenticator,
            OperatorActions actions,
            EventStreams streams,
            ConnectionLimitFilter connections,
            Executor streamUpdater) {
        super("console");
        this.pages = pages;
        this.authenticator = authenticator;
        this.actions = actions;
        this.streams = streams;
        this.connections = connections;
        this.streamUpdater = streamUpdater;
    }

    @Override
    public void service(Request request, Response response) {
        connections.onRequest(request.getContext().getConnection());
        boolean isApi = request.getRequestURI().startsWith(API_PREFIX);
        try {
            Responses.addSecurityHeaders(response);
            route(request, response);
        } catch (HttpProblemException problem) {
            Responses.sendProblem(response, problem, isApi);
        } catch (Exception unexpected) {
            LOG.error("console request failed", unexpected);
            Responses.sendProblem(response, HttpProblemException.internalError(), isApi);
        } finally {
            if (!response.isSuspended()) {
                connections.onResponse(request.getContext().getConnection());
            }
        }
    }

    private void route(Request request, Response response)
            throws HttpProblemException, IOException {
        String path = request.getRequestURI();
        if (path.startsWith(STATIC_PREFIX)) {
            RequestParameters.requireMethod(request, Method.GET);
            Responses.sendStaticFile(response, path.substring(STATIC_PREFIX.length()));
            return;
        }
        if (path.equals(LOGIN)) {
            authenticator.checkAnonymousRate(request);
            signIn(request, response);
            return;
        }
        Caller caller = authenticator.authenticate(request);
        if (caller == null) {
            authenticator.checkAnonymousRate(request);
            requestToken(response, path);
            return;
        }
        authenticator.checkRate(caller);
        if (path.equals("/logout") || path.equals("/act")) {
            RequestParameters.requireMethod(request, Method.POST);
            handleForm(request, response, caller);
        } else if (path.startsWith(API_V1_PREFIX)) {
            handleApi(request, response, path.substring(API_V1_PREFIX.length()), caller);
        } else {
            RequestParameters.requireMethod(request, Method.GET);
            showPage(request, response, path, caller);
        }
    }

    private static void requestToken(Response response, String path) throws HttpProblemException {
        if (path.startsWith(API_PREFIX)) {
            response.setHeader("WWW-Authenticate", "Bearer");
            throw HttpProblemException.unauthorized();
        }
        Responses.sendRedirect(response, LOGIN);
    }

    private void signIn(Request request, Response response)
            throws HttpProblemException, IOException {
        if (request.getMethod().equals(Method.GET)) {
            Responses.sendHtml(response, 200, HtmlRenderer.loginPage(""));
            return;
        }
        RequestParameters.requireMethod(request, Method.POST);
        Map<String, String> form = RequestParameters.readForm(request, Set.of("token"));
        if (!authenticator.signIn(form.getOrDefault("token", ""), response)) {
            Responses.sendHtml(response, 401, HtmlRenderer.loginPage("That token is not valid."));
            return;
        }
        Responses.sendRedirect(response, "/");
    }

    private void showPage(Request request, Response response, String path, Caller caller)
            throws HttpProblemException, IOException {
        String page = path.equals("/") ? PageModels.OVERVIEW : path.substring(1);
        requirePage(page);
        PageQuery query = RequestParameters.readPageQuery(request, QUERY_PARAMETERS, "page");
        PageView view = pages.view(page, caller.scope(), query);
        HtmlRenderer renderer =
                new HtmlRenderer(page, query, caller.csrfToken(), caller.scope(), pages.names());
        Responses.sendHtml(response, 200, renderer.render(view));
    }

    private void requirePage(String page) throws HttpProblemException {
        if (!pages.names().contains(page)) {
            throw HttpProblemException.notFound();
        }
    }

    private void handleForm(Request request, Response response, Caller caller)
            throws HttpProblemException, IOException {
        Map<String, String> form = RequestParameters.readForm(request, ACTION_FIELDS);
        if (!caller.isOwnForm(form.getOrDefault("csrf", ""))) {
            throw HttpProblemException.forbidden(
                    "The form does not belong to this session; reload the page.");
        }
        if (request.getRequestURI().equals("/logout")) {
            authenticator.signOut(caller);
            Responses.sendRedirect(response, LOGIN);
            return;
        }
        String action = form.getOrDefault("what", "");
        actions.perform(caller.scope(), action, form.getOrDefault("whom", ""));
        Responses.sendRedirect(response, action.endsWith("-target") ? "/targets" : "/");
    }

    private void handleApi(Request request, Response response, String path, Caller caller)
            throws HttpProblemException, IOException {
        if (path.isEmpty()) {
            RequestParameters.requireMethod(request, Method.GET);
            Responses.sendJson(response, 200, Map.of("pages", new ArrayList<>(pages.names())));
        } else if (path.equals("stream")) {
            RequestParameters.requireMethod(request, Method.GET);
            openStream(request, response, caller);
        } else if (isAction(path)) {
            RequestParameters.requireMethod(request, Method.POST);
            performApiAction(path, caller);
            Responses.sendJson(response, 202, Map.of("done", path));
        } else {
            RequestParameters.requireMethod(request, Method.GET);
            requirePage(path);
            PageQuery query = RequestParameters.readPageQuery(request, QUERY_PARAMETERS, "page");
            Responses.sendJson(response, 200, pages.view(path, caller.scope(), query));
        }
    }

    private static boolean isAction(String path) {
        return path.equals("drain")
                || path.equals("undrain")
                || path.matches("targets/[^/]+/(drain|undrain)");
    }

    private void performApiAction(String path, Caller caller)
            throws HttpProblemException, IOException {
        if (!caller.hasBearerToken()) { // browsers may send the cookie with forms of other sites
            throw HttpProblemException.forbidden(
                    "Actions through the API require a bearer token in the Authorization header.");
        }
        String[] parts = path.split("/", 0);
        if (parts.length == 1) {
            actions.perform(caller.scope(), path, "");
        } else {
            String target = RequestParameters.urlDecode(parts[1]);
            actions.perform(caller.scope(), parts[2] + "-target", target);
        }
    }

    private void openStream(Request request, Response response, Caller caller)
            throws HttpProblemException {
        PageQuery query = RequestParameters.readPageQuery(request, STREAM_PARAMETERS, "at");
        String page = request.getParameter("page");
        requirePage(page == null ? "" : page);
        streams.open(request, response, caller.token(), page, query, streamUpdater);
    }
}
