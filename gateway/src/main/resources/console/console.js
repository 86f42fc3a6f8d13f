"use strict";
// Updates the values, tables and charts of the page from its event stream. The page is complete
// without this script.
(function () {
  const view = document.getElementById("view");
  const live = document.getElementById("live");
  if (!view || !window.EventSource) { return; }
  const query = new URLSearchParams({page: view.dataset.page, find: view.dataset.find, at: view.dataset.at});
  const source = new EventSource("/api/v1/stream?" + query);

  function createCell(value) {
    const td = document.createElement("td");
    if (typeof value === "number") { td.className = "n"; }
    td.textContent = value;
    return td;
  }

  function updateTable(table) {
    const body = view.querySelector('tbody[data-table="' + table.name + '"]');
    if (!body) { return; }
    const actionCells = new Map();
    for (const row of body.rows) {
      const lastCell = row.cells[row.cells.length - 1];
      if (lastCell && lastCell.querySelector("form")) { actionCells.set(row.cells[0].textContent, lastCell); }
    }
    if (body.contains(document.activeElement)) { return; } // keeps a focused button from being replaced
    body.replaceChildren(...table.rows.map(function (row) {
      const tr = document.createElement("tr");
      tr.append(...row.map(createCell));
      const actionCell = actionCells.get(row[0]);
      if (actionCell) {
        const isDrainedHere = row[1] === "drained here";
        actionCell.querySelector("input[name=what]").value = isDrainedHere ? "undrain-target" : "drain-target";
        actionCell.querySelector("button").textContent = isDrainedHere ? "put back" : "drain here";
        tr.append(actionCell);
      }
      return tr;
    }));
    body.closest("table").caption.textContent = table.name + " (" + table.total + ")";
  }

  function updateChart(chart) {
    const figure = view.querySelector('figure[data-chart="' + chart.name + '"]');
    if (!figure) { return; }
    let max = 0;
    chart.lines.forEach(function (line) { line.points.forEach(function (y) { if (y !== null && y > max) { max = y; } }); });
    max = max || 1;
    const svg = figure.querySelector("svg");
    svg.replaceChildren(...chart.lines.map(function (line, index) {
      const polyline = document.createElementNS("http://www.w3.org/2000/svg", "polyline");
      const intervals = Math.max(1, line.points.length - 1);
      const points = [];
      line.points.forEach(function (y, i) { if (y !== null) { points.push((i * 600 / intervals).toFixed(1) + "," + (118 - y / max * 116).toFixed(1)); } });
      polyline.setAttribute("class", "s" + index % 12);
      polyline.setAttribute("points", points.join(" "));
      return polyline;
    }));
    figure.querySelector("figcaption").textContent =
        chart.name + ", up to " + max.toFixed(1) + " " + chart.unit + ", the last two minutes";
    figure.querySelector("ul").replaceChildren(...chart.lines.map(function (line, index) {
      const li = document.createElement("li");
      li.className = "s" + index % 12;
      li.textContent = line.name;
      return li;
    }));
  }

  source.onmessage = function (event) {
    const update = JSON.parse(event.data);
    const figures = document.getElementById("figures");
    figures.replaceChildren(...Object.entries(update.figures).map(function (entry) {
      const div = document.createElement("div");
      const dt = document.createElement("dt");
      const dd = document.createElement("dd");
      dt.textContent = entry[0];
      dd.textContent = entry[1];
      div.append(dt, dd);
      return div;
    }));
    update.tables.forEach(updateTable);
    update.charts.forEach(updateChart);
    live.textContent = "live, " + new Date().toLocaleTimeString();
    document.body.dataset.renewed = String(Number(document.body.dataset.renewed || 0) + 1);
  };
  source.onerror = function () { live.textContent = "not live: stream lost, reconnecting"; };
})();
