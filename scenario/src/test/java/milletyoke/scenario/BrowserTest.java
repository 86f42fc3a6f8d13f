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
 * Opens every page of the console in a real browser, checks that values are updated and operates it
 * by keyboard. Screenshots are saved to target/console.
 */
@Timeout(180)
class BrowserTest {
    @TempDir Path folder;

    @Test
    void everyPageOpensAndIsUpdated() throws Exception {
        assumeTrue(
                Browser.isInstalled() || System.getenv("CI") != null,
                "Chromium is not installed; CI installs it");
        Path screenshots = Files.createDirectories(Path.of("target/console"));
        ExecutorService executor = Executors.newCachedThreadPool();
        String script =
                Files.readString(Path.of("days/mass-restart.day"))
                        .replace("lasts 8s", "lasts 60s")
                        .replace("at 2s", "at 4s");
        try (ScenarioRunner runner =
                        new ScenarioRunner(
                                ScenarioParser.read("live.day", "live", script),
                                null,
                                false,
                                Viewer.tokens(folder));
                Browser browser = new Browser(folder.resolve("profile"))) {
            executor.submit(() -> runner.run(line -> {}));
            int port = runner.initiator(0).consolePort();
            String base = "http://127.0.0.1:" + port;
            browser.open(base + "/");
            assertEquals("/login", browser.evaluate("location.pathname"));
            browser.evaluate("document.querySelector('input').value = '" + Viewer.OPERATOR + "'");
            browser.pressKey("Enter", "Enter", 13); // the token field has the initial focus
            ScriptedPeers.await(
                    () -> browser.evaluate("document.title").startsWith("Overview"),
                    "the overview is shown after the login");
            for (String page : new Viewer(port, Viewer.OPERATOR).pages()) {
                browser.open(base + "/" + page);
                ScriptedPeers.await(
                        () ->
                                !browser.evaluate("document.body.dataset.renewed")
                                        .equals("undefined"),
                        page + " is updated by its stream");
                assertEquals(
                        page,
                        browser.evaluate(
                                "document.querySelector('nav a[aria-current]').textContent"));
                assertEquals(
                        "false",
                        browser.evaluate("document.documentElement.scrollWidth > innerWidth"),
                        page);
                browser.setWidth(390);
                assertEquals(
                        "false",
                        browser.evaluate("document.documentElement.scrollWidth > innerWidth"),
                        page + " is wider than a narrow screen");
                browser.saveScreenshot(screenshots.resolve(page + "-narrow.png"));
                browser.setWidth(1200);
                browser.saveScreenshot(screenshots.resolve(page + ".png"));
            }
            browser.open(base + "/volumes");
            String requestCount = "document.querySelector('tbody').rows[0].cells[4].textContent";
            String before = browser.evaluate(requestCount);
            ScriptedPeers.await(
                    () -> !browser.evaluate(requestCount).equals(before),
                    "the number of requests is updated");
            assertTrue(
                    Integer.parseInt(
                                    browser.evaluate(
                                            "document.querySelectorAll('polyline').length"))
                            > 0,
                    "no chart is drawn");

            // Operates the first button in the row of the first target by keyboard.
            browser.open(base + "/targets");
            browser.evaluate("document.querySelector('tbody button').focus()");
            browser.pressKey("Enter", "Enter", 13);
            ScriptedPeers.await(
                    () -> browser.evaluate("document.body.textContent").contains("drained here"),
                    "t1 is drained here");
            ScriptedPeers.await(
                    () ->
                            browser.evaluate("document.querySelector('tbody button').textContent")
                                    .equals("put back"),
                    "the button of t1 offers to undo the drain");
            browser.saveScreenshot(screenshots.resolve("targets-drained.png"));
            browser.open(base + "/");
            ScriptedPeers.await(
                    () -> browser.evaluate("document.body.textContent").contains("cold: held to"),
                    "the restarted targets are shown in slow start");
            browser.saveScreenshot(screenshots.resolve("overview-cold.png"));
        } finally {
            executor.shutdownNow();
        }
    }
}
