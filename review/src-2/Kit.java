import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins and tools shared by the cases: a record of what happened, the program started with the
 * deploy file's command, targets, a discovery and a client. Blocking sockets, one thread each.
 */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long T0 = System.nanoTime();
    private static final List<Process> PROCESSES = Collections.synchronizedList(new ArrayList<>());
    private static final AtomicLong TXN = new AtomicLong();
    private static PrintWriter record;

    private Kit() {}

    // ---- The record and the result ----

    interface Case {
        /** Returns whether the rule held. */
        boolean play() throws Exception;
    }

    /** Plays a case: exit code 0 if the rule held, 1 if it was broken, 2 if it could not run. */
    static void main(Case played) {
        int code = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::stopAll));
        Thread limit = new Thread(Kit::endLate);
        limit.setDaemon(true);
        limit.start();
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD"))), true);
            note("case TROUBLE=" + (TROUBLE ? 1 : 0));
            boolean held = played.play();
            note(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
            code = held ? 0 : 1;
        } catch (Throwable fault) {
            note("RESULT: the case could not run: " + fault);
            fault.printStackTrace();
        }
        stopAll();
        Runtime.getRuntime().halt(code);
    }

    private static void endLate() {
        sleep(115_000);
        note("RESULT: the case could not run: it took too long");
        stopAll();
        Runtime.getRuntime().halt(2);
    }

    static long micros() {
        return (System.nanoTime() - T0) / 1_000;
    }

    static double seconds() {
        return micros() / 1e6;
    }

    static synchronized void note(String line) {
        String text = String.format("%10.6f %s", seconds(), line);
        if (record != null) {
            record.println(text);
        }
    }

    /** Notes a line and prints it. */
    static void say(String line) {
        note(line);
        System.out.println(line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(String name, Case task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.play();
                            } catch (Exception ended) {
                                note(name + " ended: " + ended);
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- Processes ----

    private static void stopAll() {
        for (Process process : new ArrayList<>(PROCESSES)) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
    }

    /** The program of the deploy file's line {@code run}. */
    static final class Program {
        private static final Pattern LISTENING = Pattern.compile("accepts requests at 127\\.0\\.0\\.1:(\\d+)");
        final Process process;
        final Path folder;
        int port;

        Program(String name, String config, int discoveryPort) throws IOException {
            folder = Files.createTempDirectory(Path.of(System.getenv("WORK")), name);
            Path file = Files.writeString(folder.resolve("config.json"), config);
            Path tmp = Files.createDirectory(folder.resolve("tmp"));
            ProcessBuilder command = new ProcessBuilder("/bin/sh", "-c", runLine());
            command.directory(Path.of(System.getenv("ROOT")).toFile());
            command.environment().put("LB_NAME", name);
            command.environment().put("LB_LISTEN", "127.0.0.1:0");
            command.environment().put("LB_DISCOVERY", "127.0.0.1:" + discoveryPort);
            command.environment().put("LB_CONFIG", file.toString());
            command.environment().put("TMPDIR", tmp.toString());
            command.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
            process = command.start();
            PROCESSES.add(process);
            note("started " + name);
        }

        private static String runLine() throws IOException {
            for (String line : Files.readAllLines(Path.of(System.getenv("ROOT"), "deploy/balancer.toml"))) {
                Matcher run = Pattern.compile("run *= *\"(.*)\".*").matcher(line);
                if (run.matches()) {
                    return run.group(1);
                }
            }
            throw new IOException("no line run in the deploy file");
        }

        String log() throws IOException {
            return Files.readString(folder.resolve("log"));
        }

        void awaitReady() throws Exception {
            long until = micros() + 30_000_000;
            while (port == 0 || !isReady()) {
                Matcher listening = LISTENING.matcher(log());
                if (port == 0 && listening.find()) {
                    port = Integer.parseInt(listening.group(1));
                }
                if (!process.isAlive() || micros() > until) {
                    throw new IOException("not ready: " + log());
                }
                sleep(10);
            }
            note("ready");
        }

        private boolean isReady() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream()
                        .write(bytes("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
                Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
                return answer != null && answer.start.startsWith("HTTP/1.1 200");
            } catch (IOException notYet) {
                return false;
            }
        }

        void writeConfig(String config) throws IOException {
            Path next = Files.writeString(folder.resolve("config.next"), config);
            Files.move(next, folder.resolve("config.json"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
            note("signal " + name);
        }

        void end() throws Exception {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Sends signals quickly, through one shell that stays. */
    static final class Signals {
        private final OutputStream commands;
        private final InputStream done;

        Signals() throws IOException {
            Process shell = new ProcessBuilder("/bin/sh").start();
            PROCESSES.add(shell);
            commands = shell.getOutputStream();
            done = shell.getInputStream();
        }

        /** Sends a signal and returns once it was sent. */
        void send(String name, Process process) throws IOException {
            commands.write(bytes("kill -" + name + " " + process.pid() + "; echo\n"));
            commands.flush();
            done.read();
        }
    }

    // ---- HTTP ----

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One message with a length (or none); header names in lower case. */
    static final class Message {
        String start;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        /** Returns null at the end of the input; throws if it ends within a message. */
        static Message read(InputStream in) throws IOException {
            String line = line(in);
            if (line == null) {
                return null;
            }
            Message message = new Message();
            message.start = line;
            for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
            }
            if (line == null) {
                throw new IOException("the input ended within a head");
            }
            int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new IOException("the input ended within a body");
            }
            return message;
        }

        private static String line(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = in.read();
            if (next < 0) {
                return null;
            }
            while (next >= 0 && next != '\n') {
                if (next != '\r') {
                    line.write(next);
                }
                next = in.read();
            }
            if (next < 0) {
                throw new IOException("the input ended within a line");
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String txn() {
            return headers.get("x-txn");
        }
    }

    static byte[] answer(int status, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return bytes(text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body).toString());
    }

    // ---- Servers ----

    /** Accepts connections on a free loopback port; each is served by a thread of its own. */
    abstract static class Server {
        final ServerSocket listener = new ServerSocket();

        Server() throws IOException {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 500);
            Kit.start("accept", this::accept);
        }

        final int port() {
            return listener.getLocalPort();
        }

        private boolean accept() throws IOException {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Kit.start("serve", () -> {
                    try (socket) {
                        serve(socket, new BufferedInputStream(socket.getInputStream(), 1 << 17));
                    }
                    return true;
                });
            }
        }

        abstract void serve(Socket socket, InputStream in) throws Exception;
    }

    /** A target: answers each request with its own id and the request's; knows every request. */
    static class Target extends Server {
        final String uid;
        final int shard;
        volatile String state = "up";
        volatile long bootMillis;
        volatile long workMillis = 5;
        final List<String> ran = Collections.synchronizedList(new ArrayList<>());
        final List<Long> ranAtMicros = Collections.synchronizedList(new ArrayList<>());

        Target(String uid, int shard) throws IOException {
            this.uid = uid;
            this.shard = shard;
        }

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            OutputStream out = socket.getOutputStream();
            for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                if (request.txn() == null) {
                    boolean isProbe = request.start.startsWith("GET /health/live ");
                    out.write(answer(isProbe ? 200 : 404, ""));
                    continue;
                }
                ran.add(request.txn());
                ranAtMicros.add(micros());
                note(uid + " got " + request.txn() + " remaining " + request.headers.get("x-remaining"));
                respond(socket, in, out, request);
            }
        }

        void respond(Socket socket, InputStream in, OutputStream out, Message request) throws Exception {
            sleep(workMillis);
            out.write(answer(200, bodyFor(request.txn())));
        }

        String bodyFor(String txn) {
            return "target=" + uid + " txn=" + txn;
        }

        String entry() {
            return entry(state);
        }

        String entry(String shown) {
            return String.format(
                    "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"room\",\"model\":\"m\",\"pod_group\":%d,"
                            + "\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":%d}",
                    uid, port(), shard, shown, bootMillis);
        }
    }

    /** Discovery's agent: the whole list, and watches that are held until something changes. */
    static class Discovery extends Server {
        private final List<? extends Target> targets;
        private final List<String> removed = new ArrayList<>();
        private long revision = 1;
        private final Map<Target, Long> changedIn = new LinkedHashMap<>();

        /** How long each answer takes beyond what the call asks for. */
        volatile long slowMillis;

        volatile boolean isSilent;
        final AtomicLong calls = new AtomicLong();
        final AtomicLong answers = new AtomicLong();

        Discovery(List<? extends Target> targets) throws IOException {
            this.targets = targets;
        }

        synchronized void change(Target target, String state) {
            target.state = state;
            revision++;
            changedIn.put(target, revision);
            note("discovery: " + target.uid + " is " + state + " from revision " + revision);
            notifyAll();
        }

        synchronized String whole() {
            List<String> entries = new ArrayList<>();
            for (Target target : targets) {
                if (!target.state.equals("removed")) {
                    entries.add(target.entry());
                }
            }
            return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
        }

        private synchronized String changes(long from, long holdMillis) throws InterruptedException {
            long until = micros() + holdMillis * 1_000;
            while (revision <= from && micros() < until) {
                wait(Math.max(1, (until - micros()) / 1_000));
            }
            List<String> entries = new ArrayList<>();
            for (Map.Entry<Target, Long> change : changedIn.entrySet()) {
                if (change.getValue() > from) {
                    entries.add(change.getKey().entry());
                }
            }
            return "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + String.join(",", entries) + "]}";
        }

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            for (Message call = Message.read(in); call != null; call = Message.read(in)) {
                calls.incrementAndGet();
                String path = call.start.split(" ")[1];
                note("discovery asked " + path);
                String list = whole();
                if (path.contains("from=")) {
                    list = changes(number(path, "from"), number(path, "hold_ms"));
                }
                while (isSilent) {
                    sleep(20);
                }
                if (slowMillis > 0) {
                    sleep(slowMillis);
                    list = path.contains("from=") ? changes(number(path, "from"), 0) : whole();
                }
                socket.getOutputStream().write(answer(200, list));
                answers.incrementAndGet();
                note("discovery answered " + path + ": " + (list.length() > 300 ? list.substring(0, 300) : list));
            }
        }

        private static long number(String path, String name) {
            Matcher value = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(path);
            return value.find() ? Long.parseLong(value.group(1)) : 0;
        }
    }

    // ---- Clients ----

    /** A request of a class, to a shard. */
    static final class Request {
        final String txn = String.format("%016x", 0xa1b2000000000000L + TXN.incrementAndGet());
        final byte[] bytes;

        Request(String lane, String plan, int shard, double remaining, int units, byte[] body, String volume) {
            this(lane, plan, shard, remaining, units, body, volume, "7f3a9c21e0b4d655", 1);
        }

        Request(
                String lane,
                String plan,
                int shard,
                double remaining,
                int units,
                byte[] body,
                String volume,
                String key,
                int hosts) {
            String head =
                    (body == null ? "GET" : "PUT")
                            + " /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn
                            + "\r\nX-Lane: " + lane + "\r\nX-Plan: " + plan + "\r\nCookie: key=" + key
                            + String.format("\r\nX-Remaining: %.3f", remaining)
                            + (body == null ? "" : "\r\nContent-Length: " + body.length)
                            + "\r\nX-IO: volume=" + volume + ",units=" + units + ",shard=" + shard + ",hosts=" + hosts
                            + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(Kit.bytes(head));
            if (body != null) {
                all.writeBytes(body);
            }
            bytes = all.toByteArray();
        }

        static Request read(int shard, double remaining) {
            return new Request("fetch", "gold", shard, remaining, 1, null, "00000003b4d60021");
        }

        static Request order(int shard, double remaining) {
            return new Request("order", "gold", shard, remaining, 1, Kit.bytes("order"), "00000003b4d60021");
        }
    }

    /** A client's connection: one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(Request request) throws IOException {
            note("client sends " + request.txn);
            socket.getOutputStream().write(request.bytes);
        }

        /** Returns the answer; null if the connection ended before. */
        Message receive(Request request, int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            Message answer = Message.read(in);
            note(
                    "client of " + request.txn + " gets "
                            + (answer == null ? "the end" : answer.status() + " \"" + answer.text() + "\""));
            return answer;
        }

        Message ask(Request request, int timeoutMillis) throws IOException {
            send(request);
            return receive(request, timeoutMillis);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---- Settings ----

    /** The configuration file of a small deployment, with an empty or a given list known before. */
    static String config(String name, int discoveryPort, String known, int shards, String changed) {
        String base =
                """
                {"name":"%s","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%016x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":%s,
                 "settings":{"balancers":1,"me":0,"period":2000,"stage":0,"stages":["store"],"workload":"stores",
                  "registryMode":"automatic","weights":"off","zones":["room"],"locality":"room","shapes":["m"],
                  "callers":{"marksRetry":true},
                  "classes":[
                   {"name":"fetch","effect":"pure","dedupScope":"all","repeatWindow":5000000,"aim":400000,
                    "deadline":2500000,"points":2.0,"lateWorth":0.1,"streaming":false},
                   {"name":"order","effect":"side_effect","dedupScope":"all","repeatWindow":5000000,"aim":500000,
                    "deadline":4000000,"points":2.0,"lateWorth":0.1,"streaming":false}],
                  "policies":[
                   {"name":"gold","rate":12.0,"reservation":10.0,"weight":3.0,"ceilingRate":0.0,"capDepth":0.0,
                    "tolerance":0.0,"worthFactor":1.0},
                   {"name":"plain","rate":3.0,"reservation":0.0,"weight":1.0,"ceilingRate":30.0,"capDepth":36.0,
                    "tolerance":6.0,"worthFactor":0.7}],
                  "limits":{"connIdle":30000000,"connectTimeout":250000,"maxAttempts":3,"mayCancel":true,
                   "retryAfter":true,"maxRetryAfter":500000,"probes":true,"peers":false,"secondCopies":false,
                   "maxStreams":100,"mostHeld":33333},
                  "report":{"fields":[],"how":"off"},
                  "rules":{"answerSlack":8000,"drainGrace":500000,"cold":17000000,"coldShare":0.29,"fall":1000000,
                   "tipMultiple":2.0},
                  "specifics":{"coldBears":11.0,"shards":%d,"mostUnits":6,"usualUnits":2.0,
                   "changesData":[false,true],"countsOthers":false,"meter":0,"shareWorth":0.3,"beyondShare":0.05}}}
                """;
        return String.format(base, name, discoveryPort, System.nanoTime(), known, shards);
    }
}
