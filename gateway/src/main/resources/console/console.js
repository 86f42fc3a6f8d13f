"use strict";
// Renews figures, tables and charts of the page from its stream. The page is whole without it.
(function () {
  const view = document.getElementById("view");
  const live = document.getElementById("live");
  if (!view || !window.EventSource) { return; }
  const query = new URLSearchParams({page: view.dataset.page, find: view.dataset.find, at: view.dataset.at});
  const source = new EventSource("/api/v1/stream?" + query);

  function cell(value) {
    const td = document.createElement("td");
    if (typeof value === "number") { td.className = "n"; }
    td.textContent = value;
    return td;
  }

  function renewTable(table) {
    const body = view.querySelector('tbody[data-table="' + table.name + '"]');
    if (!body) { return; }
    const acts = new Map();
    for (const row of body.rows) {
      const last = row.cells[row.cells.length - 1];
      if (last && last.querySelector("form")) { acts.set(row.cells[0].textContent, last); }
    }
    if (body.contains(document.activeElement)) { return; } // a button there is about to be pressed
    body.replaceChildren(...table.rows.map(function (row) {
      const tr = document.createElement("tr");
      tr.append(...row.map(cell));
      const act = acts.get(row[0]);
      if (act) {
        const here = row[1] === "drained here";
        act.querySelector("input[name=what]").value = here ? "undrain-target" : "drain-target";
        act.querySelector("button").textContent = here ? "put back" : "drain here";
        tr.append(act);
      }
      return tr;
    }));
    body.closest("table").caption.textContent = table.name + " (" + table.total + ")";
  }

  function renewChart(chart) {
    const figure = view.querySelector('figure[data-chart="' + chart.name + '"]');
    if (!figure) { return; }
    let most = 0;
    chart.lines.forEach(function (line) { line.points.forEach(function (y) { if (y !== null && y > most) { most = y; } }); });
    most = most || 1;
    const svg = figure.querySelector("svg");
    svg.replaceChildren(...chart.lines.map(function (line, at) {
      const drawn = document.createElementNS("http://www.w3.org/2000/svg", "polyline");
      const n = Math.max(1, line.points.length - 1);
      const points = [];
      line.points.forEach(function (y, i) { if (y !== null) { points.push((i * 600 / n).toFixed(1) + "," + (118 - y / most * 116).toFixed(1)); } });
      drawn.setAttribute("class", "s" + at % 12);
      drawn.setAttribute("points", points.join(" "));
      return drawn;
    }));
    figure.querySelector("figcaption").textContent =
        chart.name + ", up to " + most.toFixed(1) + " " + chart.unit + ", the last two minutes";
    figure.querySelector("ul").replaceChildren(...chart.lines.map(function (line, at) {
      const li = document.createElement("li");
      li.className = "s" + at % 12;
      li.textContent = line.name;
      return li;
    }));
  }

  source.onmessage = function (event) {
    const now = JSON.parse(event.data);
    const figures = document.getElementById("figures");
    figures.replaceChildren(...Object.entries(now.figures).map(function (entry) {
      const div = document.createElement("div");
      const dt = document.createElement("dt");
      const dd = document.createElement("dd");
      dt.textContent = entry[0];
      dd.textContent = entry[1];
      div.append(dt, dd);
      return div;
    }));
    now.tables.forEach(renewTable);
    now.charts.forEach(renewChart);
    live.textContent = "live, " + new Date().toLocaleTimeString();
    document.body.dataset.renewed = String(Number(document.body.dataset.renewed || 0) + 1);
  };
  source.onerror = function () { live.textContent = "not live: the stream is lost and is asked for again"; };
})();
