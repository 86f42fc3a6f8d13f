package milletyoke.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import milletyoke.scenario.script.ScenarioParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Opens every page in a real browser, sees values change, and acts by the keyboard. Pictures go to
 * target/console.
 */
@Timeout(180)
class BrowserTest {
    @TempDir Path folder;

    @Test
    void everyPageOpensAndIsLive() throws Exception {
        assumeTrue(
                Browser.isThere() || System.getenv("CI") != null,
                "no chromium here; CI installs it");
        Path pictures = Files.createDirectories(Path.of("target/console"));
        ExecutorService beside = Executors.newCachedThreadPool();
        String day =
                Files.readString(Path.of("days/mass-restart.day"))
                        .replace("lasts 8s", "lasts 60s")
                        .replace("at 2s", "at 4s");
        try (ScenarioRunner runner =
                        new ScenarioRunner(
                                ScenarioParser.read("live.day", "live", day),
                                null,
                                false,
                                Viewer.tokens(folder));
                Browser browser = new Browser(folder.resolve("profile"))) {
            beside.submit(() -> runner.run(line -> {}));
            int port = runner.initiator(0).consolePort();
            String base = "http://127.0.0.1:" + port;
            browser.open(base + "/");
            assertEquals("/login", browser.value("location.pathname"));
            browser.value("document.querySelector('input').value = '" + Viewer.OPERATOR + "'");
            browser.key("Enter", "Enter", 13); // the field has the focus from the start
            ScriptedPeers.until(
                    () -> browser.value("document.title").startsWith("Overview"),
                    "it is signed in");
            for (String page : new Viewer(port, Viewer.OPERATOR).pages()) {
                browser.open(base + "/" + page);
                ScriptedPeers.until(
                        () -> !browser.value("document.body.dataset.renewed").equals("undefined"),
                        page + " is live");
                assertEquals(
                        page,
                        browser.value("document.querySelector('nav a[aria-current]').textContent"));
                assertEquals(
                        "false",
                        browser.value("document.documentElement.scrollWidth > innerWidth"),
                        page);
                browser.wide(390);
                assertEquals(
                        "false",
                        browser.value("document.documentElement.scrollWidth > innerWidth"),
                        page + " is wider than a narrow screen");
                browser.picture(pictures.resolve(page + "-narrow.png"));
                browser.wide(1200);
                browser.picture(pictures.resolve(page + ".png"));
            }
            browser.open(base + "/volumes");
            String asked = "document.querySelector('tbody').rows[0].cells[4].textContent";
            String before = browser.value(asked);
            ScriptedPeers.until(
                    () -> !browser.value(asked).equals(before), "the figures change by themselves");
            assertTrue(
                    Integer.parseInt(browser.value("document.querySelectorAll('polyline').length"))
                            > 0,
                    "a chart is drawn");

            // By the keyboard: the first button of the first target's row.
            browser.open(base + "/targets");
            browser.value("document.querySelector('tbody button').focus()");
            browser.key("Enter", "Enter", 13);
            ScriptedPeers.until(
                    () -> browser.value("document.body.textContent").contains("drained here"),
                    "t1 is drained here");
            ScriptedPeers.until(
                    () ->
                            browser.value("document.querySelector('tbody button').textContent")
                                    .equals("put back"),
                    "its button puts it back now");
            browser.picture(pictures.resolve("targets-drained.png"));
            browser.open(base + "/");
            ScriptedPeers.until(
                    () -> browser.value("document.body.textContent").contains("cold: held to"),
                    "the rack is cold");
            browser.picture(pictures.resolve("overview-cold.png"));
        } finally {
            beside.shutdownNow();
        }
    }
}
