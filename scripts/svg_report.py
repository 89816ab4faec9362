"""Figures of a measurement as bars, one group for each unit."""

import xml.etree.ElementTree as xml

ROW = 18
LABEL_WIDTH = 320
BAR_WIDTH = 360
VALUE_WIDTH = 120
GAP = 28


def write(path, title, figures):
    """figures: {name: (value, unit)}"""
    units = {}
    for name, (value, unit) in figures.items():
        units.setdefault(unit, []).append((name, value))
    height = GAP * (len(units) + 2) + ROW * len(figures)
    root = xml.Element("svg", {
        "xmlns": "http://www.w3.org/2000/svg", "font-family": "sans-serif",
        "font-size": "12", "width": str(LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH),
        "height": str(height)})
    _text(root, 8, GAP - 8, title, size="15")
    top = GAP
    for unit, rows in units.items():
        _text(root, 8, top + GAP - 8, unit, weight="bold")
        top += GAP
        longest = max((abs(value) for _, value in rows), default=0) or 1
        for name, value in rows:
            _bar(root, top, name, value, value / longest)
            top += ROW
    xml.ElementTree(root).write(path, encoding="unicode", xml_declaration=True)


def _bar(root, top, name, value, share):
    _text(root, 16, top + ROW - 5, name)
    xml.SubElement(root, "rect", {
        "x": str(LABEL_WIDTH), "y": str(top + 2), "height": str(ROW - 5),
        "width": f"{max(0.0, share) * BAR_WIDTH:.1f}", "fill": "#4878a8"})
    _text(root, LABEL_WIDTH + BAR_WIDTH + 8, top + ROW - 5, f"{value:.4g}")


def _text(root, x, y, text, size="12", weight="normal"):
    xml.SubElement(root, "text", {
        "x": str(x), "y": str(y), "font-size": size,
        "font-weight": weight}).text = text
